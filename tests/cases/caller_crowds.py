"""A crowd of callers that are not under the operators' control meets one real instance.

    python3 tests/cases/caller_crowds.py PROGRAM CROWD

Guards against a process that such callers end or bring beyond its memory or its descriptors, or
that answers nobody else afterwards. Exits with 1 if one of these was seen.
"""

import asyncio
import os
import sys
import tempfile

if len(sys.argv) > 1:
    os.environ["PROGRAM"] = os.path.abspath(sys.argv[1])
from crowd import REQUEST, Client, LimitedInstance, answered, descriptors, peak_kb, settled, small_fleet
from fleet import Record

CLIENTS = 400
MAX_BODY = 1 << 20


def head(path, framing, number):
    return (f"POST {path} HTTP/1.1\r\n" + REQUEST.format(id=f"crowd-{number}") + framing +
            "\r\n").encode()


def chunked(number, chunk, count, ending=b""):
    """A chunked request that stops before its last chunk."""
    yield head("/book/small", "Transfer-Encoding: chunked\r\n", number)
    per_piece = max(1, 60000 // len(chunk))
    for sent in range(0, count, per_piece):
        yield chunk * min(per_piece, count - sent)
    yield ending


def one_byte_chunks(number):
    return chunked(number, b"1\r\nx\r\n", 16000)


def chunks_64k(number):
    size = 65536
    return chunked(number, b"%x\r\n%b\r\n" % (size, b"c" * size), MAX_BODY // size,
                   b"0\r\n")


def chunks_1m(number):
    return chunked(number, b"%x\r\n" % MAX_BODY + b"c" * (MAX_BODY - 1), 1)


def extensions(number):
    chunk = b"1;" + b"e" * 4000 + b"\r\nx\r\n"
    return chunked(number, chunk, 60, b"0\r\n" + b"T: " + b"t" * 60000)


def declared(number):
    yield head("/book/small", f"Content-Length: {1 << 33}\r\n", number)
    for _ in range(32):
        yield b"d" * 65536


def undeclared(number):
    return chunked(number, b"10000\r\n" + b"u" * 65536 + b"\r\n", 64)


def heads(number):
    yield b"POST /book/small HTTP/1.1\r\n" + REQUEST.format(id=number).encode()
    # many short fields take more memory than one long one
    yield b"".join(b"F%d: v\r\n" % field for field in range(1600))


def pipelined(number):
    for request in range(100):
        yield head("/book/large", "Content-Length: 0\r\n", f"{number}-{request}")


def stopped_reader(number):
    yield head("/chat/s", "Content-Length: 0\r\n", number)


def silent(number):
    return iter(())


PARTS = [one_byte_chunks, chunks_64k, chunks_1m, extensions, declared, undeclared, heads, pipelined,
         stopped_reader, silent]
UNREAD = {pipelined, stopped_reader}


def mixed(number):
    return PARTS[number % len(PARTS)]


# clients and max_fds of the settings, where they differ
CROWDS = {part.__name__: (lambda number, part=part: part, CLIENTS, 1000) for part in PARTS}
CROWDS["silent"] = (lambda number: silent, 500, 600)
CROWDS["mixed"] = (mixed, CLIENTS, 1000)


async def crowd_case(name):
    kind, count, LimitedInstance.max_fds = CROWDS[name]
    record = Record(tempfile.mkdtemp(prefix="caller-crowds-"))
    fleet = await small_fleet(record)
    clients = []
    most_descriptors = 0
    try:
        await fleet.start()
        await fleet.wait_ready()
        instance = fleet.instances[0]
        pid = instance.process.pid
        front = instance.addresses["front"]
        idle_kb = peak_kb(pid)
        for number in range(count):
            part = kind(number)
            clients.append(Client(front, part(number), part not in UNREAD))
        running = [asyncio.create_task(client.run()) for client in clients]
        pending = set(running)
        while pending and instance.process.returncode is None:
            _, pending = await asyncio.wait(pending, timeout=0.05)
            if instance.process.returncode is None:
                most_descriptors = max(most_descriptors, descriptors(pid))
        await settled(instance)
        served = await answered(front)
        alive = instance.process.returncode is None
        most_kb = peak_kb(pid) if alive else 0
        held = {"alive": alive,
                "memory": alive and most_kb < LimitedInstance.memory_mb * 1024,
                "descriptors": most_descriptors < LimitedInstance.max_fds,
                "answered": served}
        print(f"{name}: {count} clients, idle {idle_kb} kB, peak {most_kb} kB, "
              f"{most_descriptors} descriptors, "
              + ", ".join(f"{what} {'held' if ok else 'FAILED'}" for what, ok in held.items()))
        return all(held.values())
    finally:
        for client in clients:
            client.close()
        for server in fleet.servers:
            server.server.close()
        await fleet.stop()


async def main():
    names = sys.argv[2:] or list(CROWDS)
    return all([await crowd_case(name) for name in names])


sys.exit(0 if asyncio.run(main()) else 1)
