"""A tenant's allotment is granted twice.

The tenant sends its whole window at one entry host. Then that host and the job
store that counts allotments are killed at the same moment, and the tenant goes
on at the other hosts.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from lab_2 import *  # noqa: E402,F403

RATE, BURST = 20, 20
WINDOW_S, OVER, SLACK = 5, 0.1, 20
MOST = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
# An allotment is 1.6 times what its tenant usually sends; a hot one sends up to
# 7.5 times that.
PER_SECOND = 90
KEY = "k-7d1f"
BOUNDS.update(quotaWindowS=WINDOW_S, quotaOver=OVER, quotaSlack=SLACK,
              strictRevoke="false", revokeMs=5000)


async def leader_of(fleet):
    for store in fleet.stores:
        answer = await call((store.ip, 9464), "GET", "/metrics", [("Host", "m")], timeout=1)
        if answer and b"shallotport_is_leader 1" in answer.body:
            return store
    return None


async def serve(runner, run):
    await run.read_body()
    run.whole(200, [], b"x" * 50)


async def case(record):
    fleet = Fleet(record, controls=3, stores=3, entries=3)
    sent, counted = {}, []
    try:
        await fleet.start()
        runners = [Runner(fleet, "app", i + 1, serve, slots=64) for i in range(3)]
        for each in runners:
            await each.start()
        await asyncio.sleep(2)
        tenants = [{"name": "t-1", "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST}]
        if await fleet.put_manifest(manifest(tenants=tenants)) != 200:
            raise CannotRun("the manifest was refused")
        await fleet.ready()
        await asyncio.sleep(3)

        answers = []

        async def ask(entry):
            name = new_id()
            sent[name] = time.monotonic()
            answer = await call(fleet.front(entry), "GET", "/safe/a",
                                [("Host", "x.example"), ("X-Request-Id", name),
                                 ("Authorization", "Bearer " + KEY), ("X-Deadline-Ms", "4000")])
            record("request %s at %s: %s" % (name, fleet.entries[entry].name,
                                             answer.status if answer else "no answer"))
            answers.append(answer.status if answer else 0)

        calls = []

        async def send(entries, per_second, seconds):
            for i in range(int(per_second * seconds)):
                calls.append(asyncio.ensure_future(ask(entries[i % len(entries)])))
                await asyncio.sleep(1 / per_second)

        await send([0], PER_SECOND, 1.4)
        leader = await leader_of(fleet)
        if leader is None:
            raise CannotRun("no job store leads")
        if TROUBLE:
            leader.signal(signal.SIGKILL)
            fleet.entries[0].signal(signal.SIGKILL)
            for each in (leader, fleet.entries[0]):
                await each.process.wait()

            async def back():
                await asyncio.sleep(0.5)
                await leader.start()
                await fleet.entries[0].start()
            calls.append(asyncio.ensure_future(back()))
        await send([1, 2], PER_SECOND, 3.4)
        await asyncio.gather(*calls)

        ran = [(sent[run.id], run.at) for each in runners for run in each.arrived
               if run.id in sent and run.headers.get("x-tenant") == "t-1"]
        most = max((sum(1 for asked, at in ran if begin <= asked and at < begin + WINDOW_S)
                    for begin, _ in ran), default=0)
        record("answers: %s" % {code: answers.count(code) for code in set(answers)})
        record("requests of the tenant that ran in some %d s: %d; allowed: %d" % (
            WINDOW_S, most, MOST))
        if not 60 <= most:
            raise CannotRun("the tenant was not served")
        return most <= MOST
    finally:
        await fleet.stop()


play(FOLDER, case)
