"""A runner starts again under its id with other software; then another crashes."""

import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import lab_3 as lab  # noqa: E402

HOST = 'chat.example'
STREAMS, EVENTS, GAP_S = 42, 30, 0.1
REPORT_LATE_S = 3.0


async def play(folder):
    fleet = lab.Lab(folder, entries=2)
    try:
        return await judge(fleet)
    finally:
        await fleet.close()


async def stream(fleet, request):
    got = await lab.call(fleet.entry_ips()[0], lab.FRONT, 'POST', '/chat/' + request,
                         {'Host': HOST, 'X-Request-Id': request, 'X-Deadline-Ms': '5000', 'X-Model': 'm',
                          'X-Token-Count': '300,300', 'X-Prompt-Prefix': f'5c1e07a2:100,{request}:200'},
                         b'prompt', 8.0)
    events = re.findall(r'id: (\d+)\ndata: (\S+) ', got.body.decode('utf-8', 'replace'))
    versions = [version for _, version in events]
    fleet.record.line('stream', id=request, answer=got.status, whole=got.whole, events=len(events),
                      versions=','.join(sorted(set(versions))))
    return versions


async def judge(fleet):
    fleet.start_all()
    for number in range(3):
        runner = await fleet.add_runner(number, 'models', slots=40, events=EVENTS, gap=GAP_S, zone='z-a')
        runner.text = lambda request, event, own=runner: f'{own.version} {request}-{event}'
    chat = lab.route('chat', HOST, '/chat/', 'streaming', 'models', resumable=True)
    await fleet.put_manifest(lab.manifest(1, [chat], [lab.service('models', slots=40)]))
    await fleet.ready()
    await asyncio.sleep(6)

    first, _, third = fleet.runners
    if lab.TROUBLE:
        await third.restart('v2', 0.2, REPORT_LATE_S)
    asked = [asyncio.ensure_future(stream(fleet, lab.new_id())) for _ in range(STREAMS)]
    await asyncio.sleep(1.0)
    broken = len(first.unfinished())
    if lab.TROUBLE:
        crash = asyncio.ensure_future(first.crash(4.0))
    answers = await asyncio.gather(*asked)
    if lab.TROUBLE:
        await crash

    mixed = [versions for versions in answers if len(set(versions)) > 1]
    begun = [versions for versions in answers if versions]
    fleet.record.line('judged', streams=len(answers), begun=len(begun), at_the_crashed_runner=broken, mixed=len(mixed))
    print(f'{len(begun)} of {len(answers)} streams began, {broken} were at the runner that crashed; '
          f'{len(mixed)} hold events of two versions')
    if len(begun) < STREAMS / 2:
        raise lab.CannotRun('too few streams began')
    return lab.BROKEN if len(mixed) > 2 else lab.HELD


if __name__ == '__main__':
    sys.exit(lab.run_case(os.path.dirname(os.path.abspath(__file__)), play))
