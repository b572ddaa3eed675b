"""Stand-ins of the second review: a small deployment on loopback.

Starts the programs of the deploy file with settings files of their own, and
plays the platform around them: runners that report, an operator and clients.
Only what the pages allow; everything that was sent, answered and run goes to
the record.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "shallotport-fleet")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - BEGAN, text)
        self.file.write(line + "\n")
        self.file.flush()


def unused_net():
    """A /16 of loopback whose addresses this run uses."""
    return "127.%d" % random.randint(20, 220)


class Host:
    def __init__(self, fleet, role, number, zone):
        self.fleet = fleet
        self.role = role
        self.name = "%s-%s-%d" % (role, zone, number)
        self.zone = zone
        self.ip = "%s.%d.%d" % (fleet.net, {"entry": 1, "control": 2, "store": 3}[role], number)
        self.folder = os.path.join(fleet.folder, self.name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.settings = os.path.join(self.folder, "local.conf")
        self.process = None
        self.first = True

    def write_settings(self):
        fleet = self.fleet
        lines = [
            "nodeName=" + self.name,
            "role=" + self.role,
            "ip=" + self.ip,
            "zone=" + self.zone,
            "region=r",
            "zones.a=r",
            "zones.b=r",
            "zones.c=r",
            "internalPorts=%d,%d" % (fleet.port_links, fleet.port_links + 15),
            "seeds=" + ",".join(
                "%s:%d" % (h.ip, fleet.port_control) for h in fleet.controls[:3]),
            "bootstrap=" + ("true" if self.first else "false"),
            "countsAsLoss=" + ("false" if self.role == "entry" else "true"),
            "limits.cpuShare=0.5",
            "limits.cores=1",
            "limits.memoryMb=260",
            "limits.maxFds=4200",
            "limits.linkMbps=1000.0",
            "discovery=registry",
            "entry=vip",
            "heartbeatMs=1200",
            "tolerate.machines=1",
            "tolerate.zones=1",
            "tolerate.regions=0",
        ]
        lines += ["bounds.%s=%s" % each for each in BOUNDS.items()]
        if self.role == "entry":
            lines += ["machineClass=front", "serves=front",
                      "listen.front=%s:%d" % (self.ip, fleet.port_front),
                      "listen.ready=%s:%d" % (self.ip, fleet.port_ready)]
        elif self.role == "control":
            lines += ["machineClass=core", "serves=control", "limits.diskMb=128",
                      "dataDir=" + os.path.join(self.folder, "data"),
                      "listen.control=%s:%d" % (self.ip, fleet.port_control)]
        else:
            lines += ["machineClass=store", "serves=store", "limits.diskMb=390",
                      "dataDir=" + os.path.join(self.folder, "data")]
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")

    async def start(self):
        self.write_settings()
        self.first = False
        log = open(os.path.join(self.folder, "log"), "ab")
        env = dict(os.environ, SHALLOTPORT_BOOT=self.settings)
        # The words of the deploy file.
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--metrics-port", "9464", self.role,
            stdout=log, stderr=log, env=env, cwd=ROOT)
        log.close()
        self.fleet.record("%s started, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.fleet.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.returncode is None


# Of the sheet of lysberg-drift.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4.4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configMs": 2000, "downgradeMs": 250, "maxSkewMs": 5000, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 0, "finishS": 18, "statusS": 120,
    "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1,
}


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_answer(reader, method="GET"):
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    body, whole = b"", True
    try:
        if method == "HEAD":
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        whole = False
    return Answer(status, headers, body, whole)


def request_bytes(method, path, headers, body=None):
    text = "%s %s HTTP/1.1\r\n" % (method, path)
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    if body is not None:
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode() + b"\r\n" + (body or b"")


async def call(address, method, path, headers, body=None, timeout=5.0):
    """One call on a channel of its own; None if there was no whole answer."""
    async def talk():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, path, headers, body))
            return await read_answer(reader, method)
        finally:
            writer.close()
    try:
        answer = await asyncio.wait_for(talk(), timeout)
        return answer if answer.whole else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Fleet:
    def __init__(self, record, controls=3, stores=3, entries=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="shallotport-review-")
        self.net = unused_net()
        base = random.randint(20000, 28000)
        self.port_links, self.port_control = base, base + 100
        self.port_front, self.port_ready, self.port_runner = base + 101, base + 102, base + 103
        zones = "abc"
        self.controls = []
        for role, count, into in (("control", controls, self.controls),):
            for i in range(count):
                into.append(Host(self, role, i + 1, zones[i % 3]))
        self.stores = [Host(self, "store", i + 1, zones[i % 3]) for i in range(stores)]
        self.entries = [Host(self, "entry", i + 1, zones[i % 3]) for i in range(entries)]
        self.runners = []

    def hosts(self):
        return self.controls + self.stores + self.entries

    def front(self, number=0):
        return (self.entries[number].ip, self.port_front)

    def control(self, number=0):
        return (self.controls[number].ip, self.port_control)

    async def start(self):
        for host in self.hosts():
            await host.start()

    async def control_call(self, first, method, path, body=None):
        """As the operator calls: follows a redirect twice."""
        at = self.control(first % len(self.controls))
        for _ in range(3):
            answer = await call(at, method, path,
                                [("Host", "control"), ("Content-Type", "application/json")],
                                body, 1.5)
            if not answer or answer.status != 307:
                break
            where = answer.headers["location"][len("http://"):].split("/")[0]
            at = (where.split(":")[0], int(where.split(":")[1]))
        return answer

    async def put_manifest(self, manifest, tries=40):
        body = json.dumps(manifest).encode()
        for i in range(tries):
            answer = await self.control_call(i, "PUT", "/v1/config", body)
            self.record("manifest %s: %s" % (manifest.get("version"),
                                             answer.status if answer else "no answer"))
            if answer and answer.status in (200, 400, 409, 412, 413, 422):
                return answer.status
            await asyncio.sleep(0.3)
        raise CannotRun("the manifest was not answered")

    async def read_manifest(self):
        for i in range(20):
            answer = await self.control_call(i, "GET", "/v1/config")
            if answer and answer.status == 200:
                return json.loads(answer.body)
            await asyncio.sleep(0.3)
        raise CannotRun("the manifest can't be read")

    async def ready(self, timeout=15):
        end = time.monotonic() + timeout
        for host in self.entries:
            while True:
                answer = await call((host.ip, self.port_ready), "GET", "/v1/ready",
                                    [("Host", "ready")], timeout=1)
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(host.name + " is not ready")
                await asyncio.sleep(0.2)

    async def stop(self):
        for runner in self.runners:
            runner.close()
        for host in self.hosts():
            if host.is_running():
                host.process.kill()
                await host.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Runner:
    """A runner that reports; `serve(runner, run)` answers what it is sent."""

    def __init__(self, fleet, service, number, serve, slots=8, version="v1"):
        self.fleet, self.service, self.serve = fleet, service, serve
        self.ip = "%s.9.%d" % (fleet.net, number)
        self.port = fleet.port_runner
        self.id = "i-%08x" % random.getrandbits(32)
        self.zone = "abc"[number % 3]
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrived = []
        self.server = None
        self.beats = None
        self.talks = set()
        self.is_reporting = True
        fleet.runners.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.talk, self.ip, self.port, limit=1 << 22)
        self.beats = asyncio.ensure_future(self.beat())

    def close(self):
        if self.server:
            self.server.close()
        if self.beats:
            self.beats.cancel()
        for each in list(self.talks):
            each.cancel()

    def report(self):
        self.sequence += 1
        return {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "coldRemainingMs": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.sequence, "born": self.born}

    async def tell(self, first=None):
        """One report, at the next control host until one acknowledges it."""
        controls = list(range(len(self.fleet.controls)))
        random.shuffle(controls)
        if first is not None:
            controls.remove(first)
            controls.insert(0, first)
        body = json.dumps(self.report()).encode()
        for each in controls:
            answer = await call(self.fleet.control(each), "PUT", "/v1/instances/" + self.id,
                                [("Host", "control"), ("Content-Type", "application/json")],
                                body, 1.0)
            if answer and 200 <= answer.status < 300:
                return each
        return None

    async def beat(self):
        while True:
            if self.is_reporting:
                await self.tell()
            await asyncio.sleep(1.2)

    async def crash(self, back_after_s, version=None, report_late_s=0):
        """Ends without a word, and starts again at its address.

        With another version of its software it keeps its id, else it gets a new
        one. Its reports may come late.
        """
        self.fleet.record("runner %s (%s) crashes" % (self.id, self.version))
        self.is_reporting = False
        self.server.close()
        for each in list(self.talks):
            each.cancel()
        await asyncio.sleep(back_after_s)
        if version is None:
            self.id = "i-%08x" % random.getrandbits(32)
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.talk, self.ip, self.port, limit=1 << 22)
        self.fleet.record("runner %s (%s) is back" % (self.id, self.version))
        self.late = asyncio.ensure_future(self.report_again(report_late_s))

    async def report_again(self, late_s):
        await asyncio.sleep(late_s)
        self.is_reporting = True
        await self.tell()

    async def leave(self):
        """As before a planned shutdown: draining, then gone."""
        self.state = "draining"
        at = await self.tell()
        self.fleet.record("runner %s says that it drains: %s" % (
            self.id, "acknowledged" if at is not None else "no answer"))
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 1)
        self.is_reporting = False
        body = json.dumps({"born": self.born}).encode()
        for each in range(len(self.fleet.controls)):
            answer = await call(self.fleet.control(each), "DELETE", "/v1/instances/" + self.id,
                                [("Host", "control"), ("Content-Type", "application/json")],
                                body, 1.0)
            if answer and answer.status == 200:
                break
        self.fleet.record("runner %s has left" % self.id)
        self.close()

    async def talk(self, reader, writer):
        task = asyncio.current_task()
        self.talks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path = first.split()[:2]
                run = Run(self, method, path, headers, reader, writer)
                self.arrived.append(run)
                self.fleet.record("runner %s: %s %s id %s" % (
                    self.id, method, path, headers.get("x-request-id")))
                expected = headers.get("x-expect-instance")
                if expected and expected != self.id:
                    await run.read_body()
                    run.whole(421, [("X-Not-Executed", "1")], b"")
                else:
                    await self.serve(self, run)
                await writer.drain()
                if run.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.talks.discard(task)
            writer.close()


class Run:
    def __init__(self, runner, method, path, headers, reader, writer):
        self.runner, self.method, self.path, self.headers = runner, method, path, headers
        self.reader, self.writer = reader, writer
        self.id = headers.get("x-request-id", "")
        self.body = b""
        self.closes = False
        self.at = time.monotonic()
        self.seal = "%s.%08x" % (self.id[:6], random.getrandbits(32))

    async def read_body(self):
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            self.body = await read_chunks(self.reader)
        else:
            self.body = await self.reader.readexactly(int(self.headers.get("content-length", 0)))
        return self.body

    def head(self, status, headers):
        text = "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n" % (status, self.id)
        if not any(name == "X-Not-Executed" for name, _ in headers):
            text += "X-Server-Seal: %s\r\n" % self.seal
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        return text

    def whole(self, status, headers, body):
        text = self.head(status, headers) + "Content-Length: %d\r\n\r\n" % len(body)
        self.writer.write(text.encode() + body)

    def begin_stream(self, headers=()):
        headers = [("Content-Type", "text/event-stream")] + list(headers)
        self.writer.write((self.head(200, headers) + "Transfer-Encoding: chunked\r\n\r\n").encode())

    def event(self, number, data):
        text = ("id: %d\ndata: %s\n\n" % (number, data)).encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def end_stream(self):
        self.writer.write(b"0\r\n\r\n")


def manifest(version=7, services=("app", "llm"), extra=(), **changes):
    routes = [
        {"name": "r-safe", "host": "x.example", "pathPrefix": "/safe/", "kind": "safe",
         "timeoutMs": 4000, "sloMs": 300, "priority": 0, "service": "app", "maxAttempts": 2,
         "sticky": False, "resumable": False},
        {"name": "r-unsafe", "host": "x.example", "pathPrefix": "/unsafe/", "kind": "unsafe",
         "timeoutMs": 4000, "sloMs": 300, "priority": 0, "service": "app", "maxAttempts": 2,
         "sticky": False, "resumable": False},
        {"name": "r-stream", "host": "x.example", "pathPrefix": "/stream/", "kind": "streaming",
         "timeoutMs": 5000, "sloMs": 300, "priority": 0, "service": "llm", "maxAttempts": 2,
         "sticky": True, "resumable": True, "gapTargetMs": 300},
        {"name": "r-batch", "host": "x.example", "pathPrefix": "/batch/", "kind": "batch",
         "timeoutMs": 4000, "sloMs": 400, "priority": 2, "service": "llm", "maxAttempts": 3,
         "sticky": True, "resumable": True, "runTargetMs": 18000, "retentionS": 60,
         "maxCount": 1200000},
    ]
    whole = {
        "version": version, "routes": routes + list(extra),
        "services": [{"name": name, "healthPath": "/health", "maxConns": 160,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    whole.update(changes)
    return whole


def new_id():
    return "%016x" % random.getrandbits(64)


def item(events=5, tokens=500):
    return {"id": new_id(), "path": "/batch/3/91c4",
            "headers": {"X-Model": "m", "X-Token-Count": "300,200"},
            "body": base64.b64encode(b"prompt").decode(), "tokens": tokens}


class JobClient:
    """Submits batch jobs and reads them, at one entry host after the other."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def submit(self, count):
        name = new_id()
        body = json.dumps({"items": [item() for _ in range(count)]}).encode()
        for i in range(12):
            answer = await call(self.fleet.front(i % len(self.fleet.entries)), "POST",
                                "/batch/" + name[:6],
                                [("Host", "x.example"), ("X-Request-Id", name),
                                 ("Content-Type", "application/json")], body, 5.5)
            self.record("batch job %s: %s" % (name, answer.status if answer else "no answer"))
            if answer and answer.status == 202:
                return name
            await asyncio.sleep(0.5)
        raise CannotRun("a batch job was not accepted")

    async def results(self, name):
        """All results, from the start; asked again after each failure."""
        found, total = [], None
        for i in range(40):
            answer = await call(self.fleet.front(i % len(self.fleet.entries)), "GET",
                                "/v1/lots/%s?after=%d" % (name, len(found)),
                                [("Host", "x.example")])
            if not answer or answer.status != 200:
                self.record("read of %s: %s" % (name, answer.status if answer else "no answer"))
                await asyncio.sleep(0.3)
                continue
            read = json.loads(answer.body)
            total = read["total"]
            found += read["results"]
            if len(found) == total or not read["results"]:
                break
        if total is None:
            raise CannotRun("the batch job can't be read")
        return found, total

    async def is_finished(self, name):
        found, total = await self.results(name)
        self.record("batch job %s: %d of %d items are listed" % (name, len(found), total))
        return len(found) == total

    async def held(self, name, runners):
        """LOST, when finishS is over, as the rule has it."""
        now = time.monotonic()
        if await self.is_finished(name):
            return True
        is_at_work = any(run.at > now - 5 for each in runners for run in each.arrived)
        has_finished = any(at > now - 3 for each in runners for at in each.finished)
        self.record("a runner had an item in the last 5 s: %s; an item was finished in the "
                    "last 3 s: %s" % (is_at_work, has_finished))
        return is_at_work or has_finished


async def until_the_end(case, record):
    """Also ends the processes when this one is asked to end."""
    task = asyncio.ensure_future(case(record))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 110)


def play(folder, case):
    """Runs the coroutine `case(record)`, which tells whether the rule held."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    try:
        held = asyncio.run(until_the_end(case, record))
    except (Exception, asyncio.CancelledError) as reason:
        record("cannot run: %s: %s" % (type(reason).__name__, reason))
        sys.exit(2)
    record("the rule held" if held else "THE RULE IS BROKEN")
    sys.exit(0 if held else 1)
