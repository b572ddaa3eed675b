"""A manifest takes the route of an accepted batch job away."""

import asyncio
import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import lab_3 as lab  # noqa: E402

HOST = 'batch.example'
FINISH_S, SETTLE_S = 18, 1


async def play(folder):
    fleet = lab.Lab(folder)
    try:
        return await judge(fleet)
    finally:
        await fleet.close()


async def judge(fleet):
    fleet.start_all()
    for number in range(2):
        await fleet.add_runner(number, 'models', slots=1, events=10, gap=0.1)
    services = [lab.service('models'), lab.service('app')]
    online = lab.route('chat', 'chat.example', '/chat/', 'streaming', 'models')
    batch = lab.route('notes', HOST, '/notes/', 'batch', 'models')
    await fleet.put_manifest(lab.manifest(1, [online, batch], services))
    await fleet.ready()
    await asyncio.sleep(4)

    job = lab.new_id()
    items = [lab.new_id() for _ in range(12)]
    body = json.dumps({'items': [
        {'id': item, 'path': f'/notes/{item}', 'headers': {'X-Model': 'm', 'X-Token-Count': '100,100'},
         'body': base64.b64encode(item.encode()).decode(), 'tokens': 200} for item in items]}).encode()
    accepted = False
    for _ in range(20):
        got = await lab.call(fleet.entry_ips()[0], lab.FRONT, 'POST', '/notes/' + job,
                             {'Host': HOST, 'X-Request-Id': job, 'Content-Type': 'application/json'}, body)
        fleet.record.line('job-sent', id=job, items=len(items), answer=got.status)
        if got.status == 202:
            accepted = True
            break
        await asyncio.sleep(0.5)
    if not accepted:
        raise lab.CannotRun('the job was not accepted')

    await asyncio.sleep(2.5)
    if lab.TROUBLE:
        await fleet.put_manifest(lab.manifest(2, [online], services))
    await asyncio.sleep(5)          # The last of the traffic.
    await asyncio.sleep(FINISH_S)

    total, listed = await read_all(fleet, job)
    ended = [run[4] for runner in fleet.runners for run in runner.runs if run[4]]
    idle_s = time.monotonic() - max(ended)
    at_work = sum(len(runner.unfinished()) for runner in fleet.runners)
    missing = [item for item in items if item not in listed]
    fleet.record.line('judged', total=total, listed=len(listed), missing=len(missing),
                      runners_at_work=at_work, idle_s=round(idle_s, 1), ended=fleet.ended())
    print(f'{len(listed)} of {len(items)} items listed; {at_work} at a runner; runners idle for {idle_s:.1f} s')
    if not missing:
        return lab.HELD
    if at_work or idle_s < 5:
        raise lab.CannotRun('the runners were not idle')
    return lab.BROKEN


async def read_all(fleet, job):
    """As a client at the end of the day: from the start, again after each failure."""
    ends = time.monotonic() + 20
    listed, after = {}, 0
    while time.monotonic() < ends:
        for ip in fleet.entry_ips():
            got = await lab.call(ip, lab.FRONT, 'GET', f'/v1/lots/{job}?after={after}', {'Host': HOST})
            if got.status != 200:
                fleet.record.line('job-read', at=ip, answer=got.status)
                await asyncio.sleep(0.3)
                continue
            page = json.loads(got.body)
            for result in page['results']:
                listed[result['id']] = result['state']
            fleet.record.line('job-read', at=ip, after=after, answer=200, results=len(page['results']),
                              states=[result['state'] for result in page['results']])
            after = page['next']
            if not page['results']:
                return page['total'], listed
    raise lab.CannotRun('the job could not be read')


if __name__ == '__main__':
    sys.exit(lab.run_case(os.path.dirname(os.path.abspath(__file__)), play))
