"""A server's entry is removed while the store cuts a waiting watch (rule DRAIN)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from fleet import (TROUBLE, CannotRun, Connection, Fleet, configuration, request_bytes, route,
                   run_case, service)

DRAIN_S = 2.0
# a removed server serves for drain_ms "and a little longer" before it exits
LITTLE_LONGER_S = 0.1
CALLERS_PER_INSTANCE = 8
PAUSE_S = 0.02


async def book(record, instance, number, answers, stop):
    """Sends bookings one after the other on a kept connection."""
    connection = Connection()
    count = 0
    while not stop.is_set():
        count += 1
        attempt = f"{instance.name}-{number}-{count}"
        try:
            if not connection.is_open():
                await connection.open(instance.addresses["front"])
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(PAUSE_S)
            continue
        record.say(f"sent {attempt}")
        data = request_bytes("POST", "/book/1", {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000"},
                             b"tape")
        status, _, _ = await connection.exchange(data, 4.5)
        answers[attempt] = status
        record.say(f"answer {attempt} {status}")
        await asyncio.sleep(PAUSE_S)
    connection.close()


async def case(record):
    fleet = Fleet(record, ["a", "b", "c"])
    tasks = []
    stop = asyncio.Event()
    try:
        fleet.store.put("op/config", configuration(
            7, [route("book", "/book/", "non_idempotent", "app")], [service("app")]))
        stays = await fleet.add_server("i-stays", "app", "a")
        leaves = await fleet.add_server("i-leaves", "app", "b")
        await fleet.start()
        await fleet.wait_ready()
        answers = {}
        for instance in fleet.instances:
            for number in range(CALLERS_PER_INSTANCE):
                tasks.append(asyncio.create_task(
                    book(record, instance, number, answers, stop)))
        # past the start: members are known, each instance is its zone's reader, all in touch
        await asyncio.sleep(6)
        while TROUBLE and len(fleet.store.waiting) < len(fleet.instances):
            await asyncio.sleep(0.01)
        if TROUBLE:
            record.say(f"store cuts {fleet.store.cut_watches()} waiting watches")
        fleet.store.remove(leaves.key)
        confirmed = record.now()
        record.say("store confirms the removal of i-leaves", confirmed)
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        leaves.end()
        record.say("i-leaves exits")
        await asyncio.sleep(2)
        stop.set()
        await asyncio.wait(tasks, timeout=6)
        late = [(at - confirmed, attempt) for at, attempt, _, _ in leaves.runs
                if at > confirmed + DRAIN_S]
        last = max((at for at, *_ in leaves.runs), default=0) - confirmed
        lost = [attempt for attempt in leaves.cut if answers.get(attempt) != 200]
        if len(stays.runs) < 100 or len(leaves.runs) < 100:
            raise CannotRun("too few bookings ran")
        summary = (f"runs at i-leaves {len(leaves.runs)}, last {last:.3f} s after the removal, "
                   f"later than drain_ms {len(late)}, bookings cut off by its exit {len(lost)}: "
                   f"{[answers.get(attempt) for attempt in lost]}")
        record.say(summary)
        print(summary)
        return not late
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(FOLDER, case)
