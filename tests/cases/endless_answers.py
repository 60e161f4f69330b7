"""A target that sends bytes without end, while several callers send it requests.

    python3 tests/cases/endless_answers.py PROGRAM KIND [--switches-off]

Guards against a process that buffers what such a target sends until it ends or exceeds its memory,
that answers nobody else afterwards, or that passes such bytes on as a complete answer. The switches
are those of deploy/system.toml. Exits with 1 if one of these was seen.
"""

import asyncio
import itertools
import os
import shlex
import shutil
import sys
import tempfile
import time
import tomllib
from collections import Counter

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def deployed_switches():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return shlex.split(tomllib.load(file)["roles"]["entry"]["run"])[1:]


def launcher(folder, program, arguments):
    """A script that runs the program with arguments, since fleet.py starts it without any."""
    path = os.path.join(folder, "entry")
    with open(path, "w") as file:
        file.write(f"#!/bin/sh\nexec {shlex.join([os.path.abspath(program), *arguments])}\n")
    os.chmod(path, 0o755)
    return path


LAUNCHER_FOLDER = tempfile.TemporaryDirectory(prefix="endless-launcher-")
# fleet.py reads the variable when it is imported
os.environ["PROGRAM"] = launcher(
    LAUNCHER_FOLDER.name, sys.argv[1], [] if "--switches-off" in sys.argv else deployed_switches())
from crowd import LimitedInstance, answered, descriptors, peak_kb, settled, small_fleet
from fleet import Connection, Record, Server, read_body, read_head, request_bytes, route, service

CALLERS = 20
# callers begin further requests for this long
SENDING_S = 1.5
# time limit of a request
REQUEST_LIMIT_MS = 2000
# a request without an end by then has failed; several times its time limit
END_LIMIT_S = 10
# the target ends a connection after so much, so that the test ends by itself
MAX_BYTES = 256 << 20
MAX_SENDING_S = 6
# with fewer endless answers the run has not shown anything
LEAST_ENDLESS = 5
# statuses that promise that the request has not run
NOT_RUN = {408, 421, 429, 503}

PIECE = 65536


def head_fields(attempt):
    return f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n"


def complete_answer(attempt, content):
    return (f"HTTP/1.1 200 OK\r\n{head_fields(attempt)}"
            f"Content-Length: {len(content)}\r\n\r\n").encode() + content


def repeated(unit):
    """Pieces of about 64 KB."""
    return itertools.repeat(unit * max(1, PIECE // len(unit)))


def chunk(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


def chunked_head(attempt, fields=""):
    return (f"HTTP/1.1 200 OK\r\n{head_fields(attempt)}{fields}"
            "Transfer-Encoding: chunked\r\n\r\n").encode()


# Each kind yields the bytes that answer the request with the given id. The number of the answer
# selects between two forms of some kinds.

def head(attempt, number):
    yield f"HTTP/1.1 200 OK\r\n{head_fields(attempt)}".encode()
    if number % 2:
        yield b"X-Long: "
        yield from repeated(b"h")
    # short fields take the most memory for their bytes
    yield from repeated(b"F:\r\n")


def blank_lines(attempt, number):
    return repeated(b"\r\n")


def interim(attempt, number):
    if number % 2:
        return repeated(b"HTTP/1.1 100 Continue\r\n\r\n")
    return repeated(b"HTTP/1.1 103 Early Hints\r\nLink: " + b"l" * 30000 + b"\r\n\r\n")


def skipped(attempt, number):
    return repeated(complete_answer("another-" + attempt, b"s" * (20 if number % 2 else 30000)))


def body_with_length(attempt, number):
    yield f"HTTP/1.1 200 OK\r\n{head_fields(attempt)}Content-Length: {1 << 40}\r\n\r\n".encode()
    yield from repeated(b"b")


def body_without_length(attempt, number):
    yield f"HTTP/1.1 200 OK\r\n{head_fields(attempt)}\r\n".encode()
    yield from repeated(b"b")


def chunk_extensions(attempt, number):
    yield chunked_head(attempt)
    if number % 2:
        yield b"1;"
        yield from repeated(b"e")
    yield from repeated(b"1;" + b"e" * 4000 + b"\r\nx\r\n")


def trailers(attempt, number):
    yield chunked_head(attempt) + chunk(b"content") + b"0\r\n"
    if number % 2:
        yield b"X-Long: "
        yield from repeated(b"t")
    yield from repeated(b"T:\r\n")


def event(attempt, number):
    yield chunked_head(attempt, "Content-Type: text/event-stream\r\n")
    yield chunk(b"id: 1\ndata: ")
    yield from repeated(chunk(b"e" * 16000 if number % 2 else b"e\ndata: " * 2000))


def behind_answer(attempt, number):
    """A complete answer, and more bytes in the same piece or while the connection is idle."""
    answer = complete_answer(attempt, attempt.encode())
    copies = complete_answer("another-" + attempt, b"c" * 1000)
    if number % 2:
        yield answer + copies
    else:
        yield answer
        yield None
    yield from repeated(copies)


def unasked(attempt, number):
    """Begins before the request is read, so it cannot name the id."""
    yield b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n"
    yield from repeated(b"u")


KINDS = {kind.__name__: kind
         for kind in [head, blank_lines, interim, skipped, body_with_length, body_without_length,
                      chunk_extensions, trailers, event, behind_answer, unasked]}


class EndlessTarget(Server):
    """Answers each request with the bytes of `kind`."""

    kind = None
    endless = 0
    sent = 0
    most_sent = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        attempt = ""
        try:
            if self.kind is not unasked:
                line, fields = await read_head(reader)
                await read_body(reader, fields)
                attempt = fields.get("x-attempt-id", "")
                self.runs.append(attempt)
            await asyncio.wait_for(self.send(attempt, writer), MAX_SENDING_S)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def send(self, attempt, writer):
        self.endless += 1
        sent = 0
        for piece in self.kind(attempt, self.endless):
            if piece is None:
                await asyncio.sleep(0.02)
                continue
            if sent > MAX_BYTES or writer.is_closing():
                return
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            self.sent += len(piece)
            self.most_sent = max(self.most_sent, sent)
            # drain does not let others run while the kernel takes everything
            await asyncio.sleep(0)


async def caller(address, kind, index, until, ends):
    """Sends one request after another; `ends` gets the id and how the request ended."""
    path = "/events/x" if kind is event else "/endless/x"
    for number in itertools.count():
        attempt = f"endless-{index}-{number}"
        connection = Connection()
        try:
            await connection.open(address, END_LIMIT_S)
            status, _, body = await connection.exchange(request_bytes("POST", path, {
                "X-Attempt-Id": attempt, "X-Deadline-Ms": str(REQUEST_LIMIT_MS)}, b"b" * 2000),
                END_LIMIT_S)
            if status == 0:
                ends[attempt] = "open" if body == b"TimeoutError" else "closed"
            elif status == 200 and not (kind is behind_answer and body == attempt.encode()):
                ends[attempt] = "wrong 200"
            else:
                ends[attempt] = status
        except asyncio.TimeoutError:
            ends[attempt] = "open"
        except OSError:
            ends[attempt] = "closed"
        finally:
            connection.close()
        if time.monotonic() >= until:
            return
        await asyncio.sleep(0.05)


async def watch(process, most):
    """Keeps the most memory and descriptors that the process has had, for as long as it lives."""
    while process.returncode is None:
        try:
            most["kB"] = max(most["kB"], peak_kb(process.pid))
            most["descriptors"] = max(most["descriptors"], descriptors(process.pid))
        except (OSError, StopIteration):
            pass  # it has just ended
        await asyncio.sleep(0.02)


async def endless_case(name):
    kind = KINDS[name]
    folder = tempfile.mkdtemp(prefix="endless-answers-")
    record = Record(folder)
    fleet = await small_fleet(
        record,
        [route("endless", "/endless/", "idempotent", "endless", timeout_ms=REQUEST_LIMIT_MS),
         route("events", "/events/", "streaming", "endless", timeout_ms=REQUEST_LIMIT_MS)],
        [service("endless")])
    watching = None
    try:
        target = EndlessTarget(record, "i-endless", "endless", "a")
        target.kind = kind
        await target.listen("127.0.0.1")
        fleet.store.put(target.key, {**target.entry(), "capacity": 1000})
        fleet.servers.append(target)
        await fleet.start()
        await fleet.wait_ready()
        instance = fleet.instances[0]
        front = instance.addresses["front"]
        idle_kb = peak_kb(instance.process.pid)
        most = {"kB": 0, "descriptors": 0}
        watching = asyncio.create_task(watch(instance.process, most))
        ends = {}
        begun = time.monotonic()
        await asyncio.gather(*(caller(front, kind, index, begun + SENDING_S, ends)
                               for index in range(CALLERS)))
        took = time.monotonic() - begun
        await settled(instance)
        served = await answered(front)
        alive = instance.process.returncode is None
        runs = set(target.runs)
        false_refusals = [attempt for attempt, end in ends.items()
                          if end in NOT_RUN and attempt in runs]
        counts = Counter(ends.values())
        held = {"alive": alive,
                "memory": 0 < most["kB"] < LimitedInstance.memory_mb * 1024,
                "descriptors": 0 < most["descriptors"] < LimitedInstance.max_fds,
                "answered": served,
                "ended": not counts["open"],
                "not completed": not counts["wrong 200"],
                "refusals": not false_refusals,
                "endless answers": target.endless >= LEAST_ENDLESS}
        print(f"{name}: {CALLERS} callers, {len(ends)} requests in {took:.1f} s "
              f"{dict(counts)}, {target.endless} endless answers, {target.sent >> 20} MB, "
              f"at most {target.most_sent >> 10} KB in one, "
              f"idle {idle_kb} kB, peak {most['kB']} kB, {most['descriptors']} descriptors, "
              + ", ".join(f"{what} {'held' if ok else 'FAILED'}" for what, ok in held.items()))
        return all(held.values())
    finally:
        if watching is not None:
            watching.cancel()
        for server in fleet.servers:
            server.server.close()
        await fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


async def main():
    names = [name for name in sys.argv[2:] if name != "--switches-off"]
    return all([await endless_case(name) for name in names or KINDS])


sys.exit(0 if asyncio.run(main()) else 1)
