"""Consumers that stop reading for some seconds lose the answers of sound servers.

Usage: case.py RECORD
"""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from stand import Client, Fleet, Server, Unusable, configuration, read_head, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAUSE_S = 6.0           # limits.idle_timeout_ms is 15,000, the time limit of the requests 12,000
WINDOW_BYTES = 65536    # links have small windows
CONSUMERS = 12
SMALL, LARGE = 800, 300_000


class App(Server):
    async def answer(self, line, fields, body, reader, writer, number):
        attempt = self.run(line, fields, body)
        size = LARGE if "/large/" in line else SMALL
        await asyncio.sleep(self.work_s)
        text = attempt.encode().ljust(size, b".")
        writer.write(self.head(attempt, extra=f"Content-Length: {len(text)}\r\n\r\n").encode()
                     + text)
        await writer.drain()


class KeptClient(Client):
    """A connection with a small window, kept for several requests."""

    async def open(self, address):
        ip, _, port = address.rpartition(":")
        plain = socket.socket()
        plain.setblocking(False)
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        await asyncio.get_running_loop().sock_connect(plain, (ip, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=plain, limit=8192)


def fields_of(attempt):
    return {"X-Attempt-Id": attempt, "X-Deadline-Ms": "12000"}


async def consumer(fleet, number):
    """Whether the second answer on a kept connection came whole."""
    client = KeptClient()
    await client.open(fleet.instances[number % len(fleet.instances)].front)
    try:
        client.writer.write(client.bytes_of("POST", f"/post/small/{number}",
                                            fields_of(f"small-{number}"), b"s"))
        first = await asyncio.wait_for(client.receive(), 5)
        if first.status != 200 or not first.complete:
            raise Unusable(f"the first request got {first.status}")
        attempt = f"large-{number}"
        sent = fleet.record.now()
        client.writer.write(client.bytes_of("POST", f"/post/large/{number}", fields_of(attempt),
                                            b"l"))
        line, _ = await read_head(client.reader)
        if TROUBLE:
            await asyncio.sleep(PAUSE_S)
        try:
            rest = await asyncio.wait_for(client.reader.readexactly(LARGE), 10)
            end = "whole"
        except asyncio.IncompleteReadError as cut:
            rest, end = cut.partial, "ended by the machine"
        except ConnectionError:
            rest, end = b"", "reset by the machine"
        except asyncio.TimeoutError:
            rest, end = b"", "not whole within 10 s"
        whole = end == "whole" and rest.startswith(attempt.encode())
        fleet.record(f"{attempt}: sent {sent:.3f}, {line}, {end}; ran {len(fleet.runs(attempt))} "
                     f"times")
        return whole
    finally:
        client.close()


async def play(record):
    fleet = Fleet(record, ["za", "zb", "zc"])
    try:
        fleet.store.put("op/config", configuration(
            7, [route("post", "/post/", "non_idempotent", "app", slo_ms=300, timeout_ms=12000,
                      max_attempts=1)], ["app"]))
        for number, zone in enumerate(fleet.zones):
            await fleet.add(App(record, f"i-{number + 1}", "app", zone, capacity=20))
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        whole = await asyncio.gather(*(consumer(fleet, number) for number in range(CONSUMERS)))
        lost = whole.count(False)
        record(f"{lost} of {CONSUMERS} answers that servers had given were lost")
        print(f"{lost} of {CONSUMERS} answers that servers had given were lost")
        return 1 if lost > 3 else 0
    finally:
        await fleet.stop()


sys.exit(run_case(play))
