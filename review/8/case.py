"""A manifest that cannot be read in full is acknowledged and in force.

The operator's tool writes fields of a wrong type. Each such manifest must be
refused; the one before stays in force.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from lab_2 import *  # noqa: E402,F403

TENANTS = [{"name": "t-1", "apiKeys": ["k-7d1f"], "ratePerS": 50, "burst": 50}]
# Field, and what stands in it instead of a list or a table.
SPOILED = [("limits", "none"), ("routes", {}), ("tenants", {})]


async def serve(runner, run):
    await run.read_body()
    run.whole(200, [], b"x" * 50)


async def case(record):
    fleet = Fleet(record, controls=3, stores=3, entries=1)
    try:
        await fleet.start()
        runner = Runner(fleet, "app", 1, serve)
        await runner.start()
        await asyncio.sleep(2)
        version = 7
        if await fleet.put_manifest(manifest(version, tenants=TENANTS)) != 200:
            raise CannotRun("the manifest was refused")
        await fleet.ready()
        await asyncio.sleep(3)

        async def ask(key, headers):
            """The status that a client gets, and what the runner was told."""
            before = len(runner.arrived)
            answer = await call(fleet.front(), "GET", "/safe/a",
                                [("Host", "x.example"), ("X-Request-Id", new_id()),
                                 ("Authorization", "Bearer " + key)] + headers)
            told = None
            if len(runner.arrived) > before:
                given = runner.arrived[-1].headers
                told = "X-Tenant %s, key %s" % (given.get("x-tenant"), given.get("authorization"))
            return (answer.status if answer else 0), told

        broken = []
        for field, value in SPOILED:
            version += 3
            given = manifest(version, tenants=TENANTS)
            if TROUBLE:
                given[field] = value
            status = await fleet.put_manifest(given)
            await asyncio.sleep(BOUNDS["configMs"] / 1000 + 0.2)
            own = await ask("k-7d1f", [])
            unknown = await ask("no-such-key", [("X-Tenant", "t-2")])
            held = await fleet.read_manifest()
            record("%s is %s: answered %d; in force: version %s; a client with a key gets %d "
                   "(runner: %s); one with an unknown key that says X-Tenant t-2 gets %d "
                   "(runner: %s)" % (field, json.dumps(given[field])[:30], status,
                                     held["version"], own[0], own[1], unknown[0], unknown[1]))
            if TROUBLE and (status == 200 or held["version"] == version):
                broken.append(field)
            if not TROUBLE and (status, own[0], unknown[0]) != (200, 200, 401):
                raise CannotRun("a valid manifest is not served")
            version += 3
            if await fleet.put_manifest(manifest(version, tenants=TENANTS)) != 200:
                raise CannotRun("a valid manifest was refused")
            await asyncio.sleep(1)
        record("invalid manifests that were acknowledged or are in force: %s" % (broken or "none"))
        return not broken
    finally:
        await fleet.stop()


play(FOLDER, case)
