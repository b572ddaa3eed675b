"""Runners crash three times while they work on the items of one sound job."""

import asyncio
import base64
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import lab_3 as lab  # noqa: E402

HOST = 'batch.example'
FINISH_S = 18
RUNNERS, AT_ONCE, DOWN_S = 14, 2, 4.0        # 2 of 14 are 0.143 of the runners.


async def play(folder):
    fleet = lab.Lab(folder)
    try:
        return await judge(fleet)
    finally:
        await fleet.close()


def job_body(items, part, tokens):
    return json.dumps({'items': [
        {'id': item, 'path': f'/notes/{item}', 'headers': {
            'X-Model': 'm', 'X-Token-Count': f'300,{tokens}', 'X-Prompt-Prefix': f'{part}:100,{item}:200'},
         'body': base64.b64encode(item.encode()).decode(), 'tokens': 300 + tokens} for item in items]}).encode()


async def submit(fleet, part, count, tokens):
    """A job of `count` items, sent until it is accepted."""
    job, items = lab.new_id(), [lab.new_id() for _ in range(count)]
    for _ in range(20):
        ip = random.choice(fleet.entry_ips())
        got = await lab.call(ip, lab.FRONT, 'POST', '/notes/' + job,
                             {'Host': HOST, 'X-Request-Id': job, 'Content-Type': 'application/json'},
                             job_body(items, part, tokens))
        fleet.record.line('job-sent', id=job, items=count, part=part, answer=got.status)
        if got.status == 202:
            return job, items
        await asyncio.sleep(0.3)
    raise lab.CannotRun('a job was not accepted')


async def small_jobs(fleet, accepted):
    """The rest of the night's work: items of a third of a second, of other parts."""
    while True:
        accepted.append(await submit(fleet, f'{random.choice("abcd") * 8}', 10, 30))
        await asyncio.sleep(0.5)


def runners_with(fleet, items):
    return [runner for runner in fleet.runners if any(run[0] in items for run in runner.unfinished())]


async def crash_under(fleet, items, tasks):
    """Waits until each item is at a runner for half a second; these runners crash."""
    ends = time.monotonic() + 6
    while time.monotonic() < ends:
        at_work = {run[0]: time.monotonic() - run[3] for runner in fleet.runners
                   for run in runner.unfinished() if run[0] in items}
        if len(at_work) == len(items) and min(at_work.values()) > 0.5:
            for runner in runners_with(fleet, items)[:AT_ONCE]:
                tasks.append(asyncio.ensure_future(runner.crash(DOWN_S)))
            await asyncio.sleep(0.1)
            return True
        await asyncio.sleep(0.02)
    return False


async def judge(fleet):
    fleet.start_all()
    for number in range(RUNNERS):
        runner = await fleet.add_runner(number, 'models', slots=8, gap=0.1)
        runner.events_of = lambda headers: int(headers['x-token-count'].split(',')[1]) // 10
    batch = lab.route('notes', HOST, '/notes/', 'batch', 'models')
    await fleet.put_manifest(lab.manifest(1, [batch], [lab.service('models')]))
    await fleet.ready()
    await asyncio.sleep(3)

    accepted, tasks = [], []
    others = asyncio.ensure_future(small_jobs(fleet, accepted))
    await asyncio.sleep(5)
    job, items = await submit(fleet, '9c2e41aa', 2, 1000)
    crashes = 0
    while lab.TROUBLE and crashes < 3 and await crash_under(fleet, items, tasks):
        crashes += 1
    if lab.TROUBLE and crashes < 3:
        raise lab.CannotRun(f'the items were at runners {crashes} times only')
    await asyncio.sleep(4)
    others.cancel()                # The last of the traffic.
    await asyncio.sleep(FINISH_S + 3)

    ended = [run[4] for runner in fleet.runners for run in runner.runs if run[4]]
    own = [run[4] for runner in fleet.runners for run in runner.runs if run[0] in items and run[4]]
    calm_s, own_s = time.monotonic() - max(ended), time.monotonic() - max(own)
    at_work = sum(len(runner.unfinished()) for runner in fleet.runners)
    listed = await read_all(fleet, job)
    missing = [item for item in items if item not in listed]
    fleet.record.line('judged', listed=listed, missing=missing, crashes=crashes, runners_at_work=at_work,
                      since_last_run_s=round(calm_s, 1), since_last_run_of_these_s=round(own_s, 1))
    unlisted = 0
    for other, its in accepted:
        results = await read_all(fleet, other)
        unlisted += sum(item not in results for item in its)
    print(f'{len(listed)} of {len(items)} items listed, {listed}; of the other jobs {unlisted} items are not; '
          f'last run {calm_s:.1f} s, of these items {own_s:.1f} s ago')
    if not missing:
        return lab.HELD
    if at_work or calm_s < 5 or own_s < 20:
        raise lab.CannotRun('the last seconds were not calm')
    return lab.BROKEN


async def read_all(fleet, job):
    listed, after = {}, 0
    for _ in range(40):
        got = await lab.call(random.choice(fleet.entry_ips()), lab.FRONT, 'GET', f'/v1/lots/{job}?after={after}',
                             {'Host': HOST})
        if got.status != 200:
            await asyncio.sleep(0.3)
            continue
        page = json.loads(got.body)
        listed.update({result['id']: result['state'] for result in page['results']})
        after = page['next']
        if not page['results']:
            return listed
    raise lab.CannotRun('a job could not be read')


if __name__ == '__main__':
    sys.exit(lab.run_case(os.path.dirname(os.path.abspath(__file__)), play))
