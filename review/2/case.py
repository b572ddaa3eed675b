"""Runners are restarted in turn under their ids. Each says that it leaves while
one control host stands still, to that host first. The system must go on using
the runners that are back."""

import asyncio
import base64
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand_ins as s  # noqa: E402

HOST = "ficu95.example"
JOBS, CHAT = "/pule252/", "/lohu930/"
RUNNERS = 3
FREEZE_S = 4.0
RESTART_S = 0.5  # From a runner's end to its next start.
BETWEEN_S = 5.0  # More than catchUpS.
FINISH_S = 18
ITEMS = 10


async def case(record):
    fleet = s.Fleet(record, zones=3, entries=3)
    try:
        fleet.start()
        runners = [s.Runner(fleet, i, "huvo11a") for i in range(RUNNERS)]
        for runner in runners:
            runner.on_arrival = lambda run: record.write(
                "arrives", request=run.id, runner=run.runner.name, path=run.path)
        await fleet.put_manifest({
            "version": 7,
            "routes": [
                s.route("r-1", HOST, JOBS, "batch", "huvo11a", sloMs=400, priority=2, maxAttempts=3,
                        runTargetMs=18000, retentionS=60, maxCount=1100000, timeoutMs=15000),
                s.route("r-2", HOST, CHAT, "streaming", "huvo11a", sticky=True, gapTargetMs=300)],
            "services": [s.service("huvo11a")], "limits": s.LIMITS})
        for runner in runners:
            await runner.start()
        await fleet.wait_ready()
        await asyncio.sleep(3)

        async def submit():
            job, items = s.new_id(), []
            for _ in range(ITEMS):
                item = s.new_id()
                items.append({"id": item, "path": f"{JOBS}i/{item[:6]}",
                              "headers": {"X-Model": "m", "X-Token-Count": "350,100",
                                          "X-Prompt-Prefix": f"77aa01:100,{item[:8]}:250"},
                              "body": base64.b64encode(os.urandom(300)).decode(), "tokens": 450})
            body = json.dumps({"items": items}).encode()
            for _ in range(20):
                answer = await s.call(fleet.front(random.randrange(3)), "POST", f"{JOBS}{job[:6]}",
                                      [("Host", HOST), ("X-Request-Id", job),
                                       ("Content-Type", "application/json")], body, 4.0)
                record.write("job", job=job, status=answer.status)
                if answer.status == 202:
                    return job, [item["id"] for item in items]
                await asyncio.sleep(0.5)
            raise s.CannotRun("the job was not accepted")

        async def unlisted(job, items):
            for _ in range(5):
                answer = await s.call(fleet.front(random.randrange(3)), "GET", f"/v1/lots/{job}?after=0",
                                      [("Host", HOST)], b"", 4.0)
                if answer.status == 200:
                    listed = {result["id"] for result in json.loads(answer.body)["results"]}
                    return [item for item in items if item not in listed]
            raise s.CannotRun("the job could not be read")

        async def chat(number):
            """Streams, one after the other; how many were served."""
            served = 0
            for _ in range(number):
                request = s.new_id()
                answer = await s.call(
                    fleet.front(random.randrange(3)), "POST", f"{CHAT}{request[:6]}",
                    [("Host", HOST), ("X-Request-Id", request), ("X-Model", "m"), ("X-Token-Count", "450,80"),
                     ("X-Prompt-Prefix", f"5c1e07a2:200,{request[:8]}:250"), ("X-Deadline-Ms", "5000")], b"{}")
                record.write("chat", request=request, status=answer.status)
                served += answer.status == 200 and answer.is_whole
            return served

        async def restart(runner, first):
            """As runners do before a planned end: reports `draining`, serves for
            drainMs and a little longer, says that it leaves, to one node after
            the other until one acknowledges that within a second, and ends. It
            starts again half a second later."""
            runner.state = "draining"
            await runner.deliver(runner.id, runner.report_body(), 0)
            runner.stop_reports()
            await asyncio.sleep(fleet.bounds["drainMs"] / 1000 + 0.1)
            if s.TROUBLE:
                first.signal(signal.SIGSTOP)
                record.write("stopped", host=first.name)
            begun = record.now()
            others = [host for host in fleet.controls if host is not first]
            random.shuffle(others)
            for host in [first] + others:
                record.write("leave-sent", runner=runner.name, id=runner.id, to=host.name)
                answer = await s.call((host.ip, fleet.control_port), "DELETE", f"/v1/instances/{runner.id}",
                                      timeout=1.0)
                if answer.status is not None and answer.status // 100 == 2:
                    record.write("leave-acknowledged", runner=runner.name, by=host.name)
                    break
            runner.end()
            await asyncio.sleep(RESTART_S)
            await runner.start(keeps_id=True)
            await asyncio.sleep(begun + FREEZE_S - record.now())
            if s.TROUBLE:
                first.signal(signal.SIGCONT)
                record.write("continued", host=first.name, after=f"{record.now() - begun:.2f}")

        before_job, before_items = await submit()
        before = await chat(10)
        await asyncio.sleep(3)
        if await unlisted(before_job, before_items) or before < 9:
            raise s.CannotRun("the deployment doesn't serve")
        for runner in runners:
            await restart(runner, fleet.controls[2])
            await asyncio.sleep(BETWEEN_S)
        job, items = await submit()
        after = await chat(10)
        await asyncio.sleep(FINISH_S)
        busy = []
        for _ in range(10):
            busy.append(sum(runner.running + runner.waiting for runner in runners))
            await asyncio.sleep(0.5)
        left = await unlisted(job, items)
        last = await chat(10)
        states = ",".join(f"{runner.name}:{runner.state}:{int(runner.is_up())}" for runner in runners)
        print(f"{len(left)} of {len(items)} items not listed {FINISH_S} s after the traffic; runners at work in the last "
              f"5 s: {max(busy)}; streams served before, after, at the end: {before}, {after}, {last} of 10; {states}")
        record.write("result", open=len(left), busy=max(busy), before=before, after=after, last=last)
        return len(left) > 0 and max(busy) == 0
    finally:
        fleet.controls[2].signal(signal.SIGCONT)
        fleet.stop()


s.main(os.path.dirname(os.path.abspath(__file__)), case)
