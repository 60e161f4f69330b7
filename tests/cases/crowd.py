"""A crowd of raw connections to one real instance, and what the instance takes meanwhile."""

import asyncio
import os
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
os.environ.setdefault("PROGRAM", os.path.join(ROOT, "build", "bin", "cyclamenpost_entry"))
from fleet import Connection, Fleet, Instance, Server, configuration, request_bytes, route, service

REQUEST = "Host: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\n"


class LimitedInstance(Instance):
    """An instance whose settings name less memory and fewer descriptors."""

    memory_mb = 32
    max_fds = 1000

    def write_settings(self):
        super().write_settings()
        with open(self.file) as file:
            text = file.read()
        text = text.replace("memory_mb = 260", f"memory_mb = {self.memory_mb}")
        text = text.replace("max_fds = 4100", f"max_fds = {self.max_fds}")
        with open(self.file, "w") as file:
            file.write(text)


class Target(Server):
    """Answers `/book/large` with 48 KB and `/chat/` with a stream that does not end."""

    async def answer(self, line, fields, body, writer):
        path = line.split(" ")[1]
        if path == "/book/small":
            await super().answer(line, fields, body, writer)
            return
        attempt = fields.get("x-attempt-id", "")
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n")
        if path == "/book/large":
            content = b"a" * 49152
            writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
            await writer.drain()
            return
        writer.write(f"{head}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, 200):
            event = f"id: {number}\ndata: {'e' * 100000}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0)


class Client:
    """A connection that sends pieces of bytes for as long as the instance takes them."""

    def __init__(self, address, pieces, reads=True):
        self.address = address
        self.pieces = pieces
        self.reads = reads
        self.writer = None
        self.task = None

    async def run(self):
        ip, _, port = self.address.rpartition(":")
        try:
            sock = socket.socket()
            sock.setblocking(False)
            if not self.reads:
                # a small buffer, so that answers that are not read stay with the instance
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
            reader, self.writer = await asyncio.open_connection(
                sock=sock, limit=65536 if self.reads else 1024)
            if self.reads:
                self.task = asyncio.create_task(self.read(reader))
            for piece in self.pieces:
                self.writer.write(piece)
                await asyncio.wait_for(self.writer.drain(), 4)
        except (OSError, asyncio.TimeoutError):
            pass

    async def read(self, reader):
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    def close(self):
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None:
            self.writer.transport.abort()


def peak_kb(pid):
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))


async def settled(instance, limit_s=6):
    """Waits until the instance's peak has not grown for a second, as long as it lives."""
    seen, since, begun = 0, time.monotonic(), time.monotonic()
    while instance.process.returncode is None:
        peak, now = peak_kb(instance.process.pid), time.monotonic()
        if peak > seen:
            seen, since = peak, now
        if now - since > 1 or now - begun > limit_s:
            return
        await asyncio.sleep(0.05)


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


async def answered(address, tries=12):
    """Whether one ordinary request is answered; a refused one is sent again, as callers do."""
    for number in range(tries):
        connection = Connection()
        try:
            await connection.open(address)
            data = request_bytes("POST", "/book/small", {
                "X-Attempt-Id": f"ordinary-{number}", "X-Deadline-Ms": "4000"}, b"b" * 2000)
            status, _, _ = await connection.exchange(data, 4)
            if status == 200:
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            connection.close()
        await asyncio.sleep(0.3)
    return False


async def small_fleet(record, more_routes=(), more_services=()):
    """One instance and two targets; bodies may have 1 MiB. Targets of further services are added
    by the test."""
    fleet = Fleet(record, ["a"])
    fleet.instances = [LimitedInstance(fleet, 1, "a")]
    fleet.store.put("op/config", configuration(
        7, [route("book", "/book/", "non_idempotent", "app", timeout_ms=12000),
            route("chat", "/chat/", "streaming", "app", timeout_ms=12000),
            *more_routes],
        [service("app"), *more_services], limits={"max_body_bytes": 1 << 20}))
    for number in range(2):
        target = Target(record, f"i-{number}", "app", "a", 0.01)
        await target.listen("127.0.0.1")
        entry = target.entry()
        entry["capacity"] = 1000
        fleet.store.put(target.key, entry)
        fleet.servers.append(target)
    return fleet
