"""A small deployment on loopback addresses: the project's processes, with
stand-ins for the platform, runners, clients and the operator.

Each machine has an address of its own in 127.0.0.0/8, so the ports are the same
on all of them. Everything lives in a temporary folder; close() ends what was
started.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, 'target', 'shallotport-fleet')
FRONT, READY, CONTROL, RUNNER = 8144, 8140, 8146, 8080
ZONES = ['z-a', 'z-b', 'z-c', 'z-d']
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, what, **facts):
        text = ' '.join(f'{k}={v}' for k, v in facts.items())
        self.file.write(f'{self.now():8.3f} {what} {text}\n')
        self.file.flush()


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def __repr__(self):
        return f'{self.status}{"" if self.whole else " (cut)"}'


NO_ANSWER = Answer(0, {}, b'', False)


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body and whether it is whole."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length'])), True
    return await reader.read(), True


async def call(ip, port, method, path, headers=None, body=b'', timeout=5.0):
    """One request on a channel of its own."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = f'{method} {path} HTTP/1.1\r\n'
            fields = {'Host': ip, 'Connection': 'close', **(headers or {})}
            if body or method in ('POST', 'PUT'):
                fields['Content-Length'] = str(len(body))
            head += ''.join(f'{k}: {v}\r\n' for k, v in fields.items()) + '\r\n'
            writer.write(head.encode('latin-1') + body)
            await writer.drain()
            status, got = await read_head(reader)
            try:
                data, whole = await read_body(reader, got)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                data, whole = b'', False
            return Answer(int(status.split(' ')[1]), got, data, whole)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return NO_ANSWER


class Runner:
    """Serves requests for tokens as events, or short calls as one body."""

    def __init__(self, lab, number, service, slots=4, events=10, gap=0.05, version='v1', zone=None, name=None):
        self.lab, self.service, self.slots, self.events, self.gap = lab, service, slots, events, gap
        self.version, self.zone = version, zone or ZONES[number % lab.zone_count]
        self.ip = lab.ip(100 + number)
        self.name = name or f'i-{number:04x}{random.randrange(16**6):06x}'
        self.born = int(time.time() * 1000)
        self.running, self.seq, self.state = 0, 0, 'ready'
        self.runs = []        # [id, path, first event asked for, begun, ended, outcome]
        self.server = self.beats = None
        self.writers = set()
        self.events_of = None  # Hook: headers -> number of events.
        self.answer = None     # Hook: async (runner, request) -> True if it answered.

    async def start(self, report_late_s=0.0):
        self.server = await asyncio.start_server(self.serve, self.ip, RUNNER)
        self.beats = asyncio.ensure_future(self.report_always(report_late_s))

    async def report(self, state=None):
        self.state = state or self.state
        self.seq += 1
        body = json.dumps({
            'service': self.service, 'address': f'{self.ip}:{RUNNER}', 'zone': self.zone, 'version': self.version,
            'slots': self.slots, 'state': self.state, 'coldRemainingMs': 0, 'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}], 'seq': self.seq, 'born': self.born}).encode()
        hosts = self.lab.control_ips()
        random.shuffle(hosts)
        for ip in hosts:
            got = await call(ip, CONTROL, 'PUT', f'/v1/instances/{self.name}',
                             {'Content-Type': 'application/json'}, body, 1.0)
            if 200 <= got.status < 300:
                return ip
        return None

    async def report_always(self, late_s):
        await asyncio.sleep(late_s)
        while True:
            await self.report()
            await asyncio.sleep(1.2)

    async def leave(self):
        for ip in self.lab.control_ips():
            got = await call(ip, CONTROL, 'DELETE', f'/v1/instances/{self.name}', timeout=1.0)
            if got.status == 200:
                return True
        return False

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = self.beats = None

    async def crash(self, down_s):
        """Ends without a word; a new incarnation serves at the address later."""
        self.lab.record.line('runner-crashes', runner=self.name, at_work=len(self.unfinished()))
        await self.stop()
        await asyncio.sleep(0.1)
        await asyncio.sleep(down_s - 0.1)
        self.name = f'i-{random.randrange(16**8):08x}'
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0
        await self.start()
        self.lab.record.line('runner-starts', runner=self.name)

    async def restart(self, version, down_s, report_late_s):
        """Starts again under its id with other software; its first report comes late."""
        self.lab.record.line('runner-ends', runner=self.name, version=self.version, at_work=len(self.unfinished()))
        await self.stop()
        await asyncio.sleep(down_s)
        self.version, self.born, self.seq, self.running = version, int(time.time() * 1000), 0, 0
        await self.start(report_late_s)
        self.lab.record.line('runner-starts', runner=self.name, version=self.version, report_late_s=report_late_s)

    def unfinished(self):
        return [run for run in self.runs if run[4] is None]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(' ')
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                if not await self.respond(method, path, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def text(self, request, number):
        return text_of(request, number)

    def head(self, status, headers, extra):
        fields = {'X-Server-Load': f'{self.running},0,{self.slots}', 'Keep-Alive': 'timeout=10', **extra}
        if 'x-request-id' in headers:
            fields['X-Request-Id'] = headers['x-request-id']
        text = f'HTTP/1.1 {status} X\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in fields.items()) + '\r\n'
        return text.encode('latin-1')

    async def plain(self, writer, status, headers, extra=None, body=b''):
        writer.write(self.head(status, headers, {'Content-Length': len(body), **(extra or {})}) + body)
        await writer.drain()
        return True

    async def respond(self, method, path, headers, body, reader, writer):
        if path == '/health':
            return await self.plain(writer, 200, headers, {'X-Instance-Id': self.name})
        expected = headers.get('x-expect-instance')
        if expected and expected != self.name:
            return await self.plain(writer, 421, headers, {'X-Not-Executed': '1'})
        if self.running >= self.slots:
            self.lab.record.line('runner-full', runner=self.name, id=headers.get('x-request-id'))
            return await self.plain(writer, 503, headers, {'X-Not-Executed': '1'})
        run = [headers.get('x-request-id'), path, int(headers.get('last-event-id') or 0),
               time.monotonic(), None, 'open', headers]
        self.runs.append(run)
        self.running += 1
        self.lab.record.line('run-begins', runner=self.name, service=self.service, id=run[0], path=path, after=run[2])
        try:
            if self.answer is not None:
                keep = await self.answer(self, method, path, headers, body, writer)
                if keep is not None:
                    run[5] = 'answered'
                    return keep
            keep = await self.stream(run, headers, writer)
            run[5] = 'whole'
            return keep
        except (ConnectionError, asyncio.CancelledError):
            run[5] = 'dropped'
            return False
        finally:
            self.running -= 1
            run[4] = time.monotonic()
            self.lab.record.line('run-ends', runner=self.name, id=run[0], how=run[5])

    async def stream(self, run, headers, writer):
        writer.write(self.head(200, headers, {
            'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked',
            'X-Server-Seal': f'{random.randrange(16**12):012x}', 'X-Weight-Versions': '1'}))
        events = self.events_of(headers) if self.events_of else self.events
        for number in range(run[2] + 1, events + 1):
            await asyncio.sleep(self.gap)
            if writer.transport.is_closing():
                raise ConnectionError
            event = f'id: {number}\ndata: {self.text(run[0], number)}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def text_of(request, number):
    return f'{request}-{number}'


def whole_text(request, events):
    return '\n'.join(text_of(request, n) for n in range(1, events + 1))


class Lab:
    def __init__(self, folder, controls=3, stores=3, entries=2, zones=3, extra=None):
        self.record = Record(os.path.join(folder, 'record.txt'))
        self.temporary = tempfile.mkdtemp(prefix='shallotport-case-')
        self.zone_count = zones
        self.extra = extra or {}
        self.runners, self.processes, self.classes = [], {}, {}
        self.operator_log = []
        for _ in range(50):
            self.block = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
            if self.is_free(self.block):
                break
        self.names = {}
        for i in range(controls):
            self.add_machine('control', i, 11 + i)
        for i in range(stores):
            self.add_machine('store', i, 41 + i)
        for i in range(entries):
            self.add_machine('entry', i, 71 + i)

    @staticmethod
    def is_free(block):
        try:
            with socket.socket() as probe:
                probe.bind((f'{block}.11', CONTROL))
            return True
        except OSError:
            return False

    def ip(self, number):
        return f'{self.block}.{number}'

    def add_machine(self, role, index, number):
        name = f'{role}-{index + 1}'
        self.names[name] = (role, self.ip(number), ZONES[index % self.zone_count])
        return name

    def ip_of(self, name):
        return self.names[name][1]

    def of_role(self, role):
        return [name for name, facts in self.names.items() if facts[0] == role]

    def control_ips(self):
        return [self.ip_of(name) for name in self.of_role('control')]

    def entry_ips(self):
        return [self.ip_of(name) for name in self.of_role('entry')]

    def settings(self, name, bootstrap):
        role, ip, zone = self.names[name]
        machine = {'control': 'core', 'store': 'store', 'entry': 'front'}[role]
        lines = [
            f'nodeName={name}', f'role={role}', f'machineClass={machine}',
            f'serves={dict(control="control", store="store", entry="front")[role]}',
            f'ip={ip}', f'zone={zone}', 'region=r']
        lines += [f'zones.{each}=r' for each in ZONES[:self.zone_count]]
        if role == 'entry':
            lines += [f'listen.front={ip}:{FRONT}', f'listen.ready={ip}:{READY}']
        if role == 'control':
            lines += [f'listen.control={ip}:{CONTROL}']
        seeds = ','.join(f'{each}:{CONTROL}' for each in self.control_ips()[:3])
        fields = {
            'internalPorts': '7660,7675', 'seeds': seeds, 'bootstrap': str(bootstrap).lower(),
            'countsAsLoss': str(role != 'entry').lower(), 'limits.cpuShare': 0.5, 'limits.cores': 1,
            'limits.memoryMb': 260, 'limits.maxFds': 4200, 'limits.linkMbps': 1000.0,
            'limits.diskMb': 0 if role == 'entry' else 390, 'discovery': 'registry', 'entry': 'vip',
            'heartbeatMs': 1200, 'contracts': 'base,drain,config,cost,recover,batch,stream,engine',
            'tolerate.machines': 1, 'tolerate.zones': 1, 'tolerate.regions': 0, 'bounds.seedLagS': 3,
            'bounds.reuseAfterS': 2, 'bounds.contactMs': 3000, 'bounds.ackMs': 4000, 'bounds.catchUpS': 4.4,
            'bounds.drainMs': 2000, 'bounds.graceS': 8, 'bounds.lossSlackMs': 200, 'bounds.configMs': 2000,
            'bounds.downgradeMs': 250, 'bounds.maxSkewMs': 5000, 'bounds.recoveryS': 12, 'bounds.passMs': 120,
            'bounds.retryAfterS': 0, 'bounds.finishS': 18, 'bounds.statusS': 120, 'bounds.cancelMs': 3000,
            'bounds.settleMs': 1000, 'bounds.quotaOver': 0.1, 'configMode': 'highest', **self.extra}
        if role != 'entry':
            fields['dataDir'] = self.data(name)
        return '\n'.join(lines + [f'{k}={v}' for k, v in fields.items()]) + '\n'

    def data(self, name):
        return os.path.join(self.temporary, name)

    def start(self, name, bootstrap=False):
        path = os.path.join(self.temporary, name + '.conf')
        with open(path, 'w', encoding='utf-8') as out:
            out.write(self.settings(name, bootstrap))
        if self.names[name][0] != 'entry':
            os.makedirs(self.data(name), exist_ok=True)
        log = open(os.path.join(self.temporary, name + '.log'), 'ab')
        self.processes[name] = subprocess.Popen(
            [PROGRAM, '--metrics-port', '9464', self.names[name][0]], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env={**os.environ, 'SHALLOTPORT_BOOT': path})
        log.close()
        self.record.line('process-starts', machine=name, pid=self.processes[name].pid)

    def start_all(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun('target/shallotport-fleet is not built')
        for name in self.names:
            self.start(name, bootstrap=True)

    def signal(self, name, number):
        self.record.line('signal', machine=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def ended(self):
        """Processes that have ended by themselves."""
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def log_of(self, name):
        with open(os.path.join(self.temporary, name + '.log'), encoding='utf-8', errors='replace') as log:
            return log.read()

    async def metrics(self, name):
        got = await call(self.ip_of(name), 9464, 'GET', '/metrics', timeout=1.0)
        values = {}
        for line in got.body.decode('utf-8', 'replace').splitlines():
            key, _, value = line.rpartition(' ')
            if key.startswith('shallotport_'):
                values[key[len('shallotport_'):]] = value
        return values

    async def leader(self, role):
        for name in self.of_role(role):
            if (await self.metrics(name)).get('is_leader') == '1':
                return name
        return None

    async def add_runner(self, number, service, **options):
        runner = Runner(self, number, service, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def put_manifest(self, manifest, patience=20.0):
        """As the operator: sent again unchanged, to any node, until it is clear."""
        body = json.dumps(manifest).encode()
        ends = time.monotonic() + patience
        while time.monotonic() < ends:
            ip = random.choice(self.control_ips())
            got = NO_ANSWER
            for _ in range(3):
                got = await call(ip, CONTROL, 'PUT', '/v1/config', {'Content-Type': 'application/json'}, body, 1.0)
                if got.status != 307:
                    break
                ip = got.headers['location'].split('/')[2].split(':')[0]
            self.record.line('manifest', version=manifest['version'], at=ip, answer=got.status)
            if got.status in (200, 400, 409, 412, 413, 422):
                return got.status
            await asyncio.sleep(0.2)
        raise CannotRun('no control host acknowledged the manifest')

    async def ready(self, patience=25.0):
        """Until every entry host is ready."""
        ends = time.monotonic() + patience
        for ip in self.entry_ips():
            while (await call(ip, READY, 'GET', '/v1/ready', timeout=1.0)).status != 200:
                if time.monotonic() > ends:
                    raise CannotRun(f'{ip} does not become ready')
                await asyncio.sleep(0.1)

    async def close(self):
        for runner in self.runners:
            await runner.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print('kept', self.temporary)


def route(name, host, prefix, kind, service, **more):
    out = {'name': name, 'host': host, 'pathPrefix': prefix, 'kind': kind, 'timeoutMs': 5000, 'sloMs': 300,
           'priority': 0, 'service': service, 'maxAttempts': 2, 'sticky': kind != 'safe', 'resumable': False}
    if kind == 'streaming':
        out['gapTargetMs'] = 300
    if kind == 'batch':
        out.update({'sloMs': 400, 'runTargetMs': 18000, 'retentionS': 60, 'maxCount': 1200000, 'timeoutMs': 15000,
                    'maxAttempts': 3})
    out.update(more)
    return out


def service(name, slots=8, connections=160):
    return {'name': name, 'healthPath': '/health', 'maxConns': connections, 'protocol': 'h1', 'tls': False,
            'engine': {'slots': slots, 'kvCapacityTokens': 72000, 'kvTokenBytes': 262144, 'linkMbps': 740000.0,
                       'moves': True, 'backups': True, 'stride': 8, 'maxCount': 12, 'pinMs': 4000.0,
                       'holdMs': 2000.0, 'handle_s': 5.0, 'models': [{'name': 'm'}]}}


LIMITS = {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}


def manifest(version, routes, services):
    return {'version': version, 'routes': routes, 'services': services, 'limits': LIMITS}


def new_id():
    return f'{random.randrange(16**16):016x}'


def run_case(folder, play):
    """Runs `play(record-folder)`, a coroutine that returns an exit code, and prints why."""
    async def whole():
        return await asyncio.wait_for(play(folder), 112)
    try:
        return asyncio.run(whole())
    except CannotRun as reason:
        print('cannot run:', reason)
        return NOT_RUN
    except asyncio.TimeoutError:
        print('cannot run: out of time')
        return NOT_RUN
    except Exception:  # A fault of the case says nothing about the rule.
        traceback.print_exc()
        return NOT_RUN
