"""A crowd of unfinished small bodies: do ordinary callers still get the whole of a large answer?"""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as s

MEMORY_MB = 112           # the smallest machines of the sheets
MAX_FDS = 2870
CROWD = 800
CROWD_BODY = 400          # in chunks of 4 bytes, and one byte short of the end
CROWD_FIELDS = 1400       # short fields; the head stays inside max_header_bytes (16,384)
CROWD_S = 80.0
CALLERS = 6
ANSWER_BYTES = 4 << 20
READ_BYTES_PER_S = 1 << 20
CALLS = 16


class Archive(s.Server):
    """Answers /read/large/ with a large body."""

    async def answer(self, line, fields, body, writer):
        if self.refuses(fields, writer):
            return
        attempt = self.note_run(line, fields)
        await asyncio.sleep(self.work_s)
        large = line.split(" ")[1].startswith("/read/large/")
        content = b"a" * (ANSWER_BYTES if large else 100)
        self.begun[attempt] = self.record.now()
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n"
                     f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
        await writer.drain()
        self.record.line("server has written the whole answer", attempt)


def crowd_bytes(number):
    chunks = b"4\r\nabcd\r\n" * (CROWD_BODY // 4)
    fields = "".join(f"F{field}: v\r\n" for field in range(CROWD_FIELDS))
    return (f"POST /book/x HTTP/1.1\r\nHost: {s.HOST}\r\nX-Attempt-Id: crowd-{number}\r\n"
            f"X-Deadline-Ms: 4000\r\nX-Api-Key: {s.KEY}\r\n{fields}"
            "Transfer-Encoding: chunked\r\n\r\n").encode() + chunks + b"4\r\nabc"


async def crowd_member(number, address, end, record):
    """Sends an unfinished body and stays; comes back when it is turned away."""
    while record.now() < end:
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*address.rsplit(":", 1)), 2)
            writer.write(crowd_bytes(number))
            await asyncio.wait_for(reader.read(65536), max(end - record.now(), 0.1))
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(0.5)


async def read_slowly(reader, size):
    """Reads a body at the pace of a caller's own line."""
    received = 0
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while received < size:
        data = await reader.read(65536)
        if not data:
            return received
        received += len(data)
        await asyncio.sleep(max(begun + received / READ_BYTES_PER_S - loop.time(), 0))
    return received


async def case(record, folder):
    store = s.Store(record)
    await store.start()
    store.put("op/config", s.configuration(7, [
        s.route("read", "/read/", "idempotent", "app", timeout_ms=12000, slo_ms=2000,
                max_attempts=2),
        s.route("book", "/book/", "non_idempotent", "app")], [s.service("app")]))
    server = Archive(record, store, "app", "attica-a")
    instance = s.Instance(record, folder, 0, "attica-a", store.address, limits={
        "cpu_share": 0.084, "memory_mb": MEMORY_MB, "max_fds": MAX_FDS, "link_mbps": 10.0})
    instance.seeds = [instance.address("control")]
    results = {}           # attempt: (status, bytes received)
    tasks = []
    try:
        await server.start()
        await instance.start()
        await s.wait_ready([instance])
        await asyncio.sleep(3)
        end = record.now() + CROWD_S

        async def caller(index):
            connection = s.Connection()
            for number in range(CALLS):
                attempt = f"small-{index}-{number}"
                try:
                    if connection.writer is None:
                        await connection.open(instance.address("front"))
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.5)
                    continue
                # a kept connection: a small request first, then the large one
                await connection.exchange(s.request("GET", f"/read/small/{attempt}", attempt), 4)
                attempt = f"large-{index}-{number}"
                record.line("sent", attempt)
                status, received = 0, 0
                try:
                    connection.writer.write(s.request("GET", f"/read/large/{attempt}", attempt,
                                                      deadline_ms=12000))
                    head = await asyncio.wait_for(s.read_head(connection.reader), 12)
                    if head is not None:
                        status = int(head[0].split(" ")[1])
                        received = await asyncio.wait_for(read_slowly(
                            connection.reader, int(head[1]["content-length"])), 12)
                except (OSError, AttributeError, asyncio.TimeoutError):
                    pass
                results[attempt] = (status, received)
                record.line("received", attempt, status, received, "bytes")
                if status != 200 or received < ANSWER_BYTES:
                    connection.close()
                await asyncio.sleep(0.2)

        if s.trouble():
            for number in range(CROWD):
                tasks.append(asyncio.ensure_future(
                    crowd_member(number, instance.address("front"), end, record)))
                if number % 50 == 0:
                    await asyncio.sleep(0.05)
        await asyncio.sleep(3)
        await asyncio.gather(*(caller(index) for index in range(CALLERS)))
        with open(f"/proc/{instance.process.pid}/status") as file:
            record.line("memory", *(text.split(":")[1].strip() for text in file
                                    if text.startswith("VmHWM")))
    finally:
        for task in tasks:
            task.cancel()
        await instance.stop()
    ran = {attempt for _, attempt, *_ in server.runs}
    cut = [attempt for attempt, (status, received) in results.items()
           if attempt in ran and (status == 0 or (status == 200 and received < ANSWER_BYTES))]
    whole = [attempt for attempt, (status, received) in results.items()
             if status == 200 and received == ANSWER_BYTES]
    record.line(f"large answers: {len(results)} asked for, {len(whole)} received whole, {len(cut)} "
                f"passed on to the sound server and cut: {cut[:6]}; others "
                f"{sorted({status for status, _ in results.values()})}")
    print(open(record.path).read().splitlines()[-1])
    return len(cut) <= 3


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
