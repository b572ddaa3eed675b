"""Three runners crash one after the other, each while it works on the same batch
item. The runners come back sound; the item must still be done."""

import asyncio
import base64
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand_ins as s  # noqa: E402

HOST = "ficu95.example"
PREFIX = "/pule252/"
RUNNERS = 6
SLOTS = 8
CRASHES = 3  # One runner of six at a time.
EVERY_S = 2.5
DOWN_S = 1.5
LONG_ITEMS = 10
LONG_EVENTS, LONG_GAP_S = 276, 0.05
SHORT_EVENTS, SHORT_GAP_S = 12, 0.02
SHORT_EVERY_S = 0.8  # A batch job of ten short items.
FINISH_S = 18


async def case(record):
    fleet = s.Fleet(record, zones=3, entries=3)
    tasks = []
    jobs = {}  # Batch job -> its items.
    running_at = {}  # Item -> the runner that got it last.
    try:
        fleet.start()

        def on_arrival(run):
            running_at[run.id] = run.runner
            record.write("arrives", item=run.id, runner=run.runner.name, after=run.resume_after, path=run.path)

        runners = [s.Runner(fleet, i, "huvo11a", slots=SLOTS) for i in range(RUNNERS)]
        for runner in runners:
            runner.events_of = lambda run: LONG_EVENTS if "/long/" in run.path else SHORT_EVENTS
            runner.gap_of = lambda run: LONG_GAP_S if "/long/" in run.path else SHORT_GAP_S
            runner.on_arrival = on_arrival
        await fleet.put_manifest({
            "version": 7,
            "routes": [s.route("r-1", HOST, PREFIX, "batch", "huvo11a", sloMs=400, priority=2, maxAttempts=3,
                               runTargetMs=18000, retentionS=60, maxCount=1100000, timeoutMs=15000)],
            "services": [s.service("huvo11a", SLOTS)], "limits": s.LIMITS})
        for runner in runners:
            await runner.start()
        await fleet.wait_ready()
        await asyncio.sleep(3)

        async def submit(kind, count, part_of):
            job = s.new_id()
            items = []
            for number in range(count):
                item = s.new_id()
                items.append({
                    "id": item, "path": f"{PREFIX}{kind}/{item[:6]}",
                    "headers": {"X-Model": "m", "X-Token-Count": "350,276",
                                "X-Prompt-Prefix": f"{part_of(number)}:100,{item[:8]}:250"},
                    "body": base64.b64encode(os.urandom(300)).decode(), "tokens": 626})
            body = json.dumps({"items": items}).encode()
            for attempt in range(20):
                answer = await s.call(fleet.front(random.randrange(3)), "POST", f"{PREFIX}{job[:6]}",
                                      [("Host", HOST), ("X-Request-Id", job),
                                       ("Content-Type", "application/json")], body, 4.0)
                record.write("job", job=job, kind=kind, status=answer.status, items=",".join(i["id"] for i in items))
                if answer.status == 202:
                    jobs[job] = [item["id"] for item in items]
                    return jobs[job]
                await asyncio.sleep(0.5)

        async def read(job):
            answer = await s.call(fleet.front(random.randrange(3)), "GET", f"/v1/lots/{job}?after=0",
                                  [("Host", HOST)], b"", 4.0)
            return json.loads(answer.body)["results"] if answer.status == 200 else None

        async def short_jobs(until):
            while record.now() < until:
                tasks.append(asyncio.ensure_future(submit("short", 10, lambda number: "77aa01")))
                await asyncio.sleep(SHORT_EVERY_S)

        begun = record.now()
        end = begun + 10 + 2 + CRASHES * EVERY_S + 2
        short = asyncio.ensure_future(short_jobs(end))
        await asyncio.sleep(10)
        # Each item with a shared part of its own, as ten customers' templates.
        long_items = await submit("long", LONG_ITEMS, lambda number: f"c0de{number:02d}")
        if long_items is None:
            raise s.CannotRun("the job was not accepted")
        await asyncio.sleep(2)
        last_crash = 0.0
        for number in range(CRASHES):
            runner = running_at.get(long_items[0])
            if s.TROUBLE and runner is not None and runner.is_up():
                tasks.append(asyncio.ensure_future(runner.crash_for(DOWN_S)))
                last_crash = record.now()
            await asyncio.sleep(EVERY_S)
        # Another customer's job by the first item's template, after the trouble.
        await submit("late", LONG_ITEMS, lambda number: "c0de00")
        await short
        record.write("traffic-ends")
        await asyncio.sleep(FINISH_S)
        # On, until no run has failed for 20 s and 5 s have been calm.
        while record.now() < last_crash + 27:
            await asyncio.sleep(0.5)
        busy = []
        for _ in range(10):
            busy.append(sum(runner.running + runner.waiting for runner in runners))
            await asyncio.sleep(0.5)
        open_items, total, unread = [], 0, 0
        for job, items in jobs.items():
            results = await read(job) or await read(job)
            if results is None:
                unread += 1
                continue
            listed = {result["id"]: result["state"] for result in results}
            total += len(items)
            for item in items:
                record.write("item", job=job, item=item, state=listed.get(item, "not-listed"))
                if item not in listed:
                    open_items.append(item)
        print(f"{len(jobs)} jobs, {total} items; not listed: {len(open_items)}; jobs unread: {unread}; "
              f"runners at work in the last 5 s: {max(busy)} of {RUNNERS * SLOTS}")
        record.write("result", items=total, open=len(open_items), busy=max(busy))
        if unread or not jobs:
            raise s.CannotRun("batch jobs could not be read")
        return len(open_items) > 0 and max(busy) == 0
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


s.main(os.path.dirname(os.path.abspath(__file__)), case)
