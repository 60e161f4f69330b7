"""Real instances are stopped while callers press: what was passed on has to be answered.

Run by hand after the build line of deploy/system.toml:
    PROGRAM=target/bin/cyclamenpost_entry python3 tests/cases/planned_stop.py [calm|paused|hurried]
Exits with 1 if a request that ran was cut off, or if the process outlived its grace time.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import Counter

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
from fleet import (Connection, Fleet, Record, Server, configuration, request_bytes, route, service)

GRACE_S = 8.0
PAUSE_S = 1.5
LISTENING_S = 3.0           # requests sent later than this after the signal are not owed an answer
WORK_S = [0.3, 1.0, 2.8, 4.5]
LONG_WORK_S = 20.0


class SlowServer(Server):
    """Takes a time that the request's path names."""

    async def answer(self, line, fields, body, writer):
        self.work_s = float(line.split(" ")[1].rsplit("/", 1)[1])
        await super().answer(line, fields, body, writer)


async def ask(record, fleet, connection, instance, number, work, slow_body, results):
    attempt = f"{number}-{work}"
    sent = record.now()
    body = b"tape" * 500
    data = request_bytes("POST", f"/book/{work}",
                         {"X-Attempt-Id": attempt, "X-Deadline-Ms": "12000"}, body)
    try:
        if not connection.is_open():
            await connection.open(instance.addresses["front"])
        if slow_body:
            connection.writer.write(data[:-200])
            await asyncio.sleep(0.5)
            data = data[-200:]
    except (OSError, asyncio.TimeoutError):
        return
    status, _, _ = await connection.exchange(data, 13)
    results[attempt] = (sent, status)


async def caller(record, fleet, instance, index, kept, results, stop):
    chance = random.Random(index)
    connection = Connection()
    number = 0
    while not stop.is_set():
        number += 1
        if not kept:
            connection.close()
        await ask(record, fleet, connection, instance, f"{index}-{number}", chance.choice(WORK_S),
                  chance.random() < 0.1, results)
        await asyncio.sleep(0.02)
    connection.close()


async def case(mode):
    record = Record(tempfile.mkdtemp(prefix="planned-stop-"))
    fleet = Fleet(record, ["a", "b"])
    stop = asyncio.Event()
    results = {}
    try:
        fleet.store.put("op/config", configuration(
            7, [route("book", "/book/", "non_idempotent", "app", timeout_ms=12000)],
            [service("app")]))
        for number in range(4):
            server = SlowServer(record, f"i-{number}", "app", fleet.zones[number % 2])
            await server.listen("127.0.0.1")
            server.entry()
            entry = server.entry()
            entry["capacity"] = 500
            fleet.store.put(server.key, entry)
            fleet.servers.append(server)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(3)
        leaving = fleet.instances[0]
        tasks = [asyncio.create_task(caller(record, fleet, leaving, index, index < 30, results, stop))
                 for index in range(50)]
        long_run = asyncio.create_task(
            ask(record, fleet, Connection(), leaving, "long", LONG_WORK_S, False, {}))
        await asyncio.sleep(4)
        if mode == "paused":
            leaving.signal(signal.SIGSTOP)
        leaving.signal(signal.SIGTERM)
        signalled = record.now()
        if mode == "paused":
            await asyncio.sleep(PAUSE_S)
            leaving.signal(signal.SIGCONT)
        if mode == "hurried":
            for _ in range(4):
                await asyncio.sleep(0.4)
                leaving.write_settings()
                leaving.signal(signal.SIGHUP)
                leaving.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(leaving.process.wait(), signalled + GRACE_S - record.now())
        except asyncio.TimeoutError:
            pass
        ended = leaving.process.returncode is not None
        took = record.now() - signalled
        stop.set()
        if not ended:
            leaving.process.kill()
        await asyncio.wait(tasks + [long_run], timeout=15)
        runs = Counter(attempt for server in fleet.servers for _, attempt, *_ in server.runs)
        cut, after = [], Counter()
        for attempt, (sent, status) in results.items():
            if sent >= signalled:
                after[status] += 1
            if runs[attempt] and status == 0:
                cut.append((round(sent - signalled, 2), attempt))
            if runs[attempt] > 1 or (runs[attempt] and status in (429, 503)):
                cut.append(("broken promise", attempt, status, runs[attempt]))
        print(f"{mode}: {len(results)} requests, after the signal {dict(after)}, "
              f"{'ended' if ended else 'STILL THERE'} {took:.2f} s after the signal, "
              f"ran and cut {len(cut)} {cut[:5]}")
        return ended and not cut
    finally:
        stop.set()
        await fleet.stop()


async def main():
    modes = sys.argv[1:] or ["calm", "paused", "hurried"]
    held = [await case(mode) for mode in modes]
    return 0 if all(held) else 1


sys.exit(asyncio.run(main()))
