"""Stand-ins for the review's scripts: a small deployment of the real program on
loopback addresses, and sound runners, clients and an operator, as the users'
pages describe them. Standard library only."""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/shallotport-fleet"  # As in deploy/system.toml.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """record.txt of a case: a line for each thing that was seen outside."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, event, /, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.out.write(f"{self.now():9.3f} {event} {text}\n")

    def close(self):
        self.out.close()


# ---------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """Start line and header list, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def field(headers, name, default=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if (field(headers, "Transfer-Encoding") or "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(field(headers, "Content-Length", "0")))


class Answer:
    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.is_whole = False
        self.first_at = None
        self.ended_at = None
        self.why = ""


async def call(address, method, path, headers=(), body=b"", timeout=5.0, on_bytes=None, source=None):
    """One request on a channel of its own. Never raises for what a peer does."""
    answer = Answer()
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            address[0], address[1], limit=1 << 24, local_addr=(source, 0) if source else None)
        text = f"{method} {path} HTTP/1.1\r\n"
        names = [name.lower() for name, _ in headers]
        if "host" not in names:
            text += f"Host: {address[0]}\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body or method in ("POST", "PUT"):
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        while True:
            head = await read_head(reader)
            if head is None:
                answer.why = "closed"
                return
            answer.status = int(head[0].split()[1])
            answer.headers = head[1]
            if answer.status >= 200:
                break
        answer.first_at = time.monotonic()
        if (field(answer.headers, "Transfer-Encoding") or "").lower() == "chunked":
            async for part in read_chunks(reader):
                answer.body += part
                if on_bytes:
                    on_bytes(part)
        else:
            answer.body = await reader.readexactly(int(field(answer.headers, "Content-Length", "0")))
        answer.is_whole = True

    try:
        await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        answer.why = "time limit"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as failure:
        answer.why = answer.why or type(failure).__name__
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


# ------------------------------------------------------------ the deployment


def free_net():
    """The first three numbers of loopback addresses that nobody else uses."""
    return f"127.{random.randint(32, 223)}.{random.randint(1, 254)}"


def free_port(ip, taken):
    while True:
        port = random.randint(20000, 31000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        taken.add(port)
        return port


class Host:
    def __init__(self, fleet, role, zone, ip, name):
        self.fleet, self.role, self.zone, self.ip, self.name = fleet, role, zone, ip, name
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.process = None

    def settings(self, first):
        fleet = self.fleet
        lines = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": {"entry": "front", "control": "core", "store": "store"}[self.role],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "internalPorts": f"{fleet.link_port},{fleet.link_port + 9}",
            "seeds": ",".join(f"{ip}:{fleet.control_port}" for ip in fleet.seeds),
            "bootstrap": "true" if first else "false",
            "heartbeatMs": "1200",
            "tolerate.machines": "1",
            "tolerate.zones": "1",
        }
        for zone in fleet.zones:
            lines[f"zones.{zone}"] = "r"
        for name, value in fleet.bounds.items():
            lines[f"bounds.{name}"] = str(value)
        if self.role != "entry":
            lines["dataDir"] = os.path.join(self.folder, "data")
        if self.role == "entry":
            lines["serves"] = "front"
            lines["listen.front"] = f"{self.ip}:{fleet.front_port}"
            lines["listen.ready"] = f"{self.ip}:{fleet.ready_port}"
        if self.role == "control":
            lines["serves"] = "control"
            lines["listen.control"] = f"{self.ip}:{fleet.control_port}"
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def start(self, first=False):
        path = os.path.join(self.folder, "local.conf")
        with open(path, "w") as out:
            out.write(self.settings(first))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["SHALLOTPORT_BOOT"] = path
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--metrics-port", str(self.fleet.metrics_port), self.role],
            cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as text:
            return text.read()


class Fleet:
    """Entry hosts, control hosts and job stores: one of each in each zone, and
    further entry hosts."""

    BOUNDS = {
        "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.4,
        "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250,
        "maxSkewMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 18,
        "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1,
    }

    def __init__(self, record, zones=3, entries=3):
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun(f"no {PROGRAM}: run the build line of deploy/system.toml first")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.zones = [f"z-{letter}" for letter in "abcdefgh"[:zones]]
        taken = set()
        anchor = f"{self.net}.1"
        self.link_port = free_port(anchor, taken)
        taken.update(range(self.link_port, self.link_port + 10))
        self.control_port = free_port(anchor, taken)
        self.front_port = free_port(anchor, taken)
        self.ready_port = free_port(anchor, taken)
        self.metrics_port = free_port(anchor, taken)
        self.runner_port = free_port(anchor, taken)
        self.bounds = dict(self.BOUNDS)
        self.seeds = [f"{self.net}.{11 + i}" for i in range(3)]
        self.controls = [Host(self, "control", self.zones[i % zones], f"{self.net}.{11 + i}", f"core-{i + 1}")
                         for i in range(3)]
        self.stores = [Host(self, "store", self.zones[i % zones], f"{self.net}.{21 + i}", f"store-{i + 1}")
                       for i in range(3)]
        self.entries = [Host(self, "entry", self.zones[i % zones], f"{self.net}.{31 + i}", f"front-{i + 1}")
                        for i in range(entries)]
        self.hosts = self.controls + self.stores + self.entries
        self.manifest = None

    def start(self):
        for host in self.hosts:
            host.start(first=True)

    async def put_manifest(self, manifest, within=20.0):
        """As the operator does: again, to any control host, until acknowledged."""
        body = json.dumps(manifest).encode()
        until = time.monotonic() + within
        at = 0
        while time.monotonic() < until:
            address = (self.controls[at % len(self.controls)].ip, self.control_port)
            at += 1
            for _ in range(3):
                answer = await call(address, "PUT", "/v1/config", [("Content-Type", "application/json")], body, 1.0)
                if answer.status != 307:
                    break
                place = field(answer.headers, "Location").split("/")[2].rsplit(":", 1)
                address = (place[0], int(place[1]))
            if answer.status == 200:
                self.manifest = manifest
                self.record.write("manifest", version=manifest["version"], status=200)
                return
            if answer.status is not None and answer.status // 100 == 4:
                raise CannotRun(f"the manifest was answered {answer.status}")
            await asyncio.sleep(0.1)
        raise CannotRun("no manifest was acknowledged")

    async def wait_ready(self, within=20.0):
        until = time.monotonic() + within
        for host in self.entries:
            while True:
                answer = await call((host.ip, self.ready_port), "GET", "/v1/ready", timeout=1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    def front(self, index):
        return (self.entries[index % len(self.entries)].ip, self.front_port)

    def stop(self):
        for host in self.hosts:
            host.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, **more):
    out = {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000, "sloMs": 300,
           "priority": 0, "service": service, "maxAttempts": 1}
    out.update(more)
    return out


def service(name, slots=8):
    return {"name": name, "healthPath": "/health", "maxConns": 210, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacityTokens": 72000, "kvTokenBytes": 262144, "linkMbps": 740000.0,
                       "moves": True, "backups": True, "stride": 8, "maxCount": 12, "pinMs": 4000.0,
                       "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


# ------------------------------------------------------------------- runners


class Run:
    def __init__(self, runner, request_id, path, headers, body):
        self.runner, self.id, self.path, self.headers, self.body = runner, request_id, path, headers, body
        self.resume_after = int(field(headers, "Last-Event-Id", "0") or 0)
        self.parts = [part.split(":")[0].strip() for part in (field(headers, "X-Prompt-Prefix") or "").split(",")]


class Runner:
    """A sound model runner: streams events, keeps channels, reports itself."""

    def __init__(self, fleet, index, service_name, version="v1", slots=8):
        self.fleet, self.index, self.service, self.version, self.slots = fleet, index, service_name, version, slots
        self.ip = f"{fleet.net}.{100 + index}"
        self.zone = fleet.zones[index % len(fleet.zones)]
        self.name = f"runner-{index + 1}"
        self.first_event_s, self.gap_s = 0.08, 0.02
        self.events_of = lambda run: 12
        self.gap_of = lambda run: self.gap_s
        self.on_arrival = lambda run: None
        # Called when the run is about to write its first event. May crash.
        self.on_first_event = lambda run: None
        self.extra_headers = lambda run: []
        self.server = None
        self.writers = set()
        self.starts = 0
        self.running = 0
        self.waiting = 0
        self.state = "ready"
        self.reporter = None
        self.reports = set()

    async def start(self, keeps_id=False, report_lag=0.0):
        """`report_lag`: how late the status reports of this start arrive."""
        self.starts += 1
        if not keeps_id or self.starts == 1:
            self.id = f"i-{self.index:02d}{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.report_lag = report_lag
        self.seq = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.fleet.runner_port, limit=1 << 24)
        self.reporter = asyncio.ensure_future(self.report_forever())
        self.fleet.record.write("runner-starts", runner=self.name, id=self.id, version=self.version)

    def crash(self):
        """The process ends: its port refuses, its channels are reset."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.reporter.cancel()
        self.fleet.record.write("runner-crashes", runner=self.name, id=self.id)
        for writer in list(self.writers):
            raw = writer.get_extra_info("socket")
            if raw is not None:
                try:
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            writer.transport.abort()
        self.writers.clear()

    def stop_reports(self):
        self.reporter.cancel()

    def end(self):
        """The process ends as planned: its port refuses, its channels close."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.reporter.cancel()
        self.fleet.record.write("runner-ends", runner=self.name, id=self.id)
        for writer in list(self.writers):
            writer.close()
        self.writers.clear()

    async def crash_for(self, seconds):
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()

    def is_up(self):
        return self.server is not None

    def report_body(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.fleet.runner_port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq, "born": self.born}).encode()

    async def deliver(self, runner_id, body, lag):
        await asyncio.sleep(lag)
        for host in random.sample(self.fleet.controls, len(self.fleet.controls)):
            answer = await call((host.ip, self.fleet.control_port), "PUT", f"/v1/instances/{runner_id}",
                                [("Content-Type", "application/json")], body, 1.0)
            if answer.status is not None and answer.status // 100 == 2:
                self.fleet.record.write("report-acknowledged", runner=self.name, by=host.name,
                                        body=body.decode().replace(" ", ""))
                return

    def report(self):
        """Sends a report of what is so now; it arrives `report_lag` later."""
        task = asyncio.ensure_future(self.deliver(self.id, self.report_body(), self.report_lag))
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    def leave(self):
        """Announces its end, and serves on."""
        self.state = "draining"
        self.report()

    async def report_forever(self):
        while True:
            self.report()
            await asyncio.sleep(1.2 * random.uniform(0.9, 1.1))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, headers, request_id):
        text = f"HTTP/1.1 {status} x\r\n"
        if request_id:
            text += f"X-Request-Id: {request_id}\r\n"
        text += f"X-Server-Load: {self.running},{self.waiting},{self.slots}\r\nKeep-Alive: timeout=5\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        return text

    def short(self, writer, status, headers, request_id, body=b""):
        writer.write((self.head(status, headers, request_id) + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        method, path, _ = head[0].split(" ")
        headers = head[1]
        body = await read_body(reader, headers)
        request_id = field(headers, "X-Request-Id")
        if method == "GET" and path == "/health":
            self.short(writer, 200, [("X-Instance-Id", self.id)], None)
            return True
        if method == "GET" and path == "/v1/report":
            self.short(writer, 200, [], None, json.dumps({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                "queueDepth": self.waiting, "running": self.running, "kvUsed": 0, "kvTotal": 72000,
                "handles": 0}).encode())
            return True
        if request_id is None:
            self.short(writer, 400, [("X-Not-Executed", "1")], None)
            return True
        expected = field(headers, "X-Expect-Instance")
        if expected is not None and expected != self.id:
            self.short(writer, 421, [("X-Not-Executed", "1")], request_id)
            return True
        if self.waiting >= 24:
            self.short(writer, 503, [("X-Not-Executed", "1")], request_id)
            return True
        run = Run(self, request_id, path, headers, body)
        self.on_arrival(run)
        # A channel that closes drops the request.
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(run, writer))
        await asyncio.wait([gone, work], return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            return False
        if gone.done():
            return False
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        return work.result()

    async def work(self, run, writer):
        self.waiting += 1
        is_running = False
        try:
            async with self.slot:
                self.waiting -= 1
                self.running += 1
                is_running = True
                return await self.stream(run, writer)
        finally:
            if is_running:
                self.running -= 1
            else:
                self.waiting -= 1

    def event(self, run, number):
        stem = hashlib.sha256(f"{run.path}|{number}".encode()).hexdigest()[:24]
        return stem

    async def stream(self, run, writer):
        await asyncio.sleep(self.first_event_s)
        self.on_first_event(run)
        if self.server is None:
            return False
        count = self.events_of(run)
        seal = hashlib.sha256(run.path.encode()).hexdigest()[:24]
        writer.write((self.head(200, [("X-Server-Seal", seal), ("X-Weight-Versions", "1"),
                                      ("Content-Type", "text/event-stream")] + self.extra_headers(run), run.id) +
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(run.resume_after + 1, count + 1):
            if self.server is None:
                return False
            text = f"id: {number}\ndata: {self.event(run, number)}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await asyncio.sleep(self.gap_of(run))
        writer.write(b"0\r\n\r\n")
        return True


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, case):
    """Runs `case(record)`, a coroutine function that returns whether the rule
    was broken, and exits as the review asks."""
    record = Record(folder)
    code = CANNOT_RUN
    # An end by a signal, too, ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        is_broken = asyncio.run(case(record))
        code = BROKEN if is_broken else HELD
    except CannotRun as failure:
        record.write("cannot-run", why=str(failure).replace(" ", "_"))
        print("cannot run:", failure)
    except Exception:  # Of the script itself: says nothing about the rule.
        traceback.print_exc()
    finally:
        record.write("exit", code=code)
        record.close()
    sys.exit(code)
