"""Stand-ins for store, servers and consumers, and control of real entry instances.

Everything listens on loopback. Each instance has a loopback IP address of its own, so that the
ports are the same on all machines, as in a deployment.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get(
    "PROGRAM", os.path.join(REPOSITORY, "target", "bin", "cyclamenpost_entry"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes `record.txt` with the time in seconds since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.say(f"trouble={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.start

    def say(self, text, at=None):
        self.file.write(f"{self.now() if at is None else at:9.4f} {text}\n")


async def read_head(reader):
    """Reads a head; returns its first line and its fields with lower-case names."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return b""


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store: linearizable reads, ranges in pages, watches."""

    PAGE = 500
    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.waiting = set()
        self.server = None
        self.address = None

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {"key": key, "value": base64.b64encode(data).decode(), "rev": self.revision,
                "created_rev": self.items.get(key, {}).get("created_rev", self.revision),
                "lease": 0}
        self.items[key] = item
        self._add(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._add({"key": key, "rev": self.revision, "removed": True})

    def cut_watches(self):
        """Cuts the connections of the watches that are waiting."""
        count = len(self.waiting)
        for writer in list(self.waiting):
            writer.close()
        return count

    def _add(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                target = line.split(" ")[1]
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
                if path.endswith("/kv-range"):
                    await asyncio.sleep(self.ANSWER_S)
                    answer = self.range(query)
                elif path.endswith("/kv-watch"):
                    answer = await self.watch(query, writer)
                else:
                    answer = None
                body = json.dumps(answer or {}).encode()
                status = "200 OK" if answer is not None else "404 Not Found"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.waiting.discard(writer)
            writer.close()

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:self.PAGE]],
                "more_pages": len(keys) > self.PAGE, "current_rev": self.revision}

    async def watch(self, query, writer):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [event for event in self.history
                      if event["rev"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current_rev": self.revision}
            self.waiting.add(writer)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(writer)
            if writer.is_closing():
                raise ConnectionResetError


class Server:
    """A back end. Records each request that it begins to run, and answers after `work_s`."""

    def __init__(self, record, name, backend, zone, work_s=0.03):
        self.record = record
        self.name = name
        self.backend = backend
        self.zone = zone
        self.work_s = work_s
        self.runs = []          # (time, attempt id, fields, body)
        self.cut = []           # ids of requests that its end cut off
        self.running = {}
        self.writers = set()
        self.server = None
        self.address = None
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.on_run = None

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=1000)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    @property
    def key(self):
        return "servers/" + self.name

    def entry(self, state="ready", cold_ms=0):
        self.seq += 1
        return {"backend": self.backend, "address": self.address, "zone": self.zone,
                "version": "v1", "capacity": 64, "state": state, "cold_remaining_ms": cold_ms,
                "seq": self.seq, "born": self.born}

    def end(self):
        """Ends the process: its connections are reset, its requests are lost."""
        self.server.close()
        self.cut += list(self.running)
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.answer(line, fields, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, fields, body, writer):
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance") not in (None, self.name):
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n"
                         f"X-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        at = self.record.now()
        self.runs.append((at, attempt, fields, body))
        self.running[attempt] = at
        self.record.say(f"run {self.name} {attempt}", at)
        if self.on_run is not None:
            self.on_run(attempt)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running.pop(attempt, None)
        content = f"{self.name} did {attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n"
                     f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
        await writer.drain()


class Instance:
    """A real entry instance, started with the command of the deploy file."""

    PORTS = {"front": 0, "ready": 1, "control": 2, "directory": 3}

    def __init__(self, fleet, index, zone, seeds=None):
        self.fleet = fleet
        self.zone = zone
        self.name = f"edge-{zone}-{index}"
        self.ip = f"127.{fleet.octet}.{index}.1"
        self.addresses = {name: f"{self.ip}:{fleet.port + step}"
                          for name, step in self.PORTS.items()}
        self.seeds = seeds
        self.file = os.path.join(fleet.folder, self.name + ".toml")
        self.log = os.path.join(fleet.folder, self.name + ".log")
        self.process = None

    def write_settings(self):
        seeds = self.seeds if self.seeds is not None else self.fleet.seeds()
        listen = "".join(f'{name} = "{at}"\n' for name, at in self.addresses.items())
        text = f"""node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane","registry"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
port_range = [7340,7355]
seed_nodes = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry_mode = "registry"
heartbeat_ms = 1200
[zones]
{self.fleet.zone_lines()}
[listen_addrs]
{listen}
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
stable_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
cold_over = 1.5
cold_slack = 5
evac_ms = 5000
recover_s = 12
ttl_max_s = 5
[provider]
address = "{self.fleet.store.address}"
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""
        temporary = self.file + ".new"
        with open(temporary, "w") as file:
            file.write(text)
        os.replace(temporary, self.file)

    async def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CYCLAMENPOST_NODE_FILE"] = self.file
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, env=environment, stdout=log, stderr=log, cwd=REPOSITORY)
        self.fleet.record.say(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.say(f"signal {signal.Signals(number).name} {self.name}")

    async def ready(self):
        status, _, _ = await call(self.addresses["ready"], "GET", "/cyclamenpost/readyz")
        return status == 200

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")


class Fleet:
    """A small deployment in a temporary folder."""

    def __init__(self, record, zones):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="cyclamenpost-review-")
        self.octet = random.Random(os.getpid() ^ int(time.time())).randrange(20, 250)
        self.store = Store(record)
        self.servers = []
        self.port = 0
        self.zones = list(dict.fromkeys(zones))
        self.instances = [Instance(self, index + 1, zone) for index, zone in enumerate(zones)]

    def seeds(self):
        return [instance.addresses["control"] for instance in self.instances[:3]]

    def zone_lines(self):
        return "\n".join(f'{zone} = "r"' for zone in self.zones)

    def choose_ports(self):
        """Finds four ports in a row that are free on the addresses of all instances."""
        for _ in range(200):
            self.port = random.randrange(20000, 31000)
            opened = []
            try:
                for instance in self.instances:
                    for step in range(4):
                        probe = socket.socket()
                        opened.append(probe)
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((instance.ip, self.port + step))
                break
            except OSError:
                continue
            finally:
                for probe in opened:
                    probe.close()
        for instance in self.instances:
            instance.addresses = {name: f"{instance.ip}:{self.port + step}"
                                  for name, step in Instance.PORTS.items()}

    async def add_server(self, name, backend, zone, work_s=0.03, **entry):
        server = Server(self.record, name, backend, zone, work_s)
        await server.listen("127.0.0.1")
        self.servers.append(server)
        self.store.put(server.key, server.entry(**entry))
        return server

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program of the deploy build is missing: " + PROGRAM)
        self.choose_ports()
        await self.store.listen("127.0.0.1")
        for instance in self.instances:
            await instance.start()

    async def wait_ready(self):
        for instance in self.instances:
            await instance.wait_ready()

    async def stop(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, tenants=None, limits=None):
    document = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **(limits or {})}}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def route(name, prefix, kind, backend, **more):
    return {"name": name, "hostname": "desk.example", "prefix": prefix, "route_type": kind,
            "timeout_ms": 4000, "slo_ms": 300, "priority": 2, "backend": backend,
            "max_attempts": 1 if kind == "non_idempotent" else 2, "public": False,
            "session_affinity": False, "stream_resume": False, "gap_aim_ms": 400, **more}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1",
            "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, **more}


def request_bytes(method, path, fields, body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A consumer's connection, kept for many requests."""

    def __init__(self):
        self.reader = None
        self.writer = None

    async def open(self, address, limit_s=1.0):
        ip, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), limit_s)

    async def exchange(self, data, limit_s):
        """Returns status, fields and body; status 0 if the answer did not come whole."""
        try:
            self.writer.write(data)
            return await asyncio.wait_for(self._answer(), limit_s)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as failure:
            self.close()
            return 0, {}, type(failure).__name__.encode()

    async def _answer(self):
        line, fields = await read_head(self.reader)
        body = await read_body(self.reader, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), fields, body

    def is_open(self):
        return self.writer is not None and not self.writer.is_closing()

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def call(address, method, path, fields=None, body=b"", limit_s=4.0):
    """One request on a new connection."""
    connection = Connection()
    try:
        await connection.open(address)
    except (OSError, asyncio.TimeoutError) as failure:
        return -1, {}, type(failure).__name__.encode()
    try:
        return await connection.exchange(request_bytes(method, path, fields or {}, body), limit_s)
    finally:
        connection.close()


def run_case(folder, case):
    """Runs `case(record)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    record = Record(folder)

    async def guarded():
        return await asyncio.wait_for(case(record), 115)

    try:
        held = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.say(f"cannot run: {failure!r}")
        print(f"cannot run: {failure!r}")
        sys.exit(2)
    record.say("held" if held else "broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
