"""A batch job stands still when one runner with one place is left.

Two runners of one place each serve a batch route. One of them is emptied and
taken away. Then a batch job is accepted.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from lab_2 import *  # noqa: E402,F403


async def serve(runner, run):
    await run.read_body()
    run.begin_stream()
    for i in range(1, 6):
        run.event(i, "token %d" % i)
        await run.writer.drain()
        await asyncio.sleep(0.05)
    run.end_stream()
    run.runner.finished.append(time.monotonic())


async def case(record):
    fleet = Fleet(record, controls=3, stores=3, entries=2)
    try:
        await fleet.start()
        runners = [Runner(fleet, "llm", i + 1, serve, slots=1) for i in range(2)]
        for each in runners:
            each.finished = []
            await each.start()
        await asyncio.sleep(2)
        if await fleet.put_manifest(manifest()) != 200:
            raise CannotRun("the manifest was refused")
        await fleet.ready()
        await asyncio.sleep(3)
        client = JobClient(fleet, record)
        before = await client.submit(4)
        await asyncio.sleep(6)
        if not await client.is_finished(before):
            raise CannotRun("a first batch job was not served")
        if TROUBLE:
            await runners[1].leave()
        await asyncio.sleep(2)
        job = await client.submit(4)
        # Traffic has ended; the batch job has finishS.
        await asyncio.sleep(BOUNDS["finishS"] + 4)
        return await client.held(job, runners)
    finally:
        await fleet.stop()


play(FOLDER, case)
