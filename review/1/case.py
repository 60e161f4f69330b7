"""Servers run bookings and lose the answers by a reset (rule TWICE)."""

import asyncio
import os
import random
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from fleet import (TROUBLE, CannotRun, Connection, Fleet, Server, configuration, request_bytes,
                   reset, route, run_case, service)

SERVERS = 5
LOSING_SERVERS = 3          # share and x as in day trouble-1 of coica-hub: 0.6 and 0.4 for 4 s
LOST_SHARE = 0.4
WINDOWS = 14
LOSING_S, CALM_S = 4.0, 1.0
CALLERS_PER_INSTANCE = 40
CLUMP_PERIOD_S = 0.1        # the callers of a desk send together


class LossyServer(Server):
    """Runs every booking; while `losing`, resets some connections instead of answering."""

    losing = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.chance = random.Random(self.name)
        self.lost = []

    async def answer(self, line, fields, body, writer):
        mine = fields.get("x-expect-instance") == self.name
        if not (mine and self.losing and self.chance.random() < LOST_SHARE):
            await super().answer(line, fields, body, writer)
            return
        attempt = fields.get("x-attempt-id", "")
        at = self.record.now()
        self.runs.append((at, attempt, fields, body))
        self.record.say(f"run {self.name} {attempt}, answer will be lost", at)
        await asyncio.sleep(self.work_s)
        self.lost.append(attempt)
        reset(writer)
        raise ConnectionResetError


async def book(record, connection, instance, attempt, answers):
    try:
        if not connection.is_open():
            await connection.open(instance.addresses["front"])
    except (OSError, asyncio.TimeoutError):
        return
    record.say(f"sent {attempt}")
    data = request_bytes("POST", "/book/1", {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000"},
                         b"tape")
    status, _, _ = await connection.exchange(data, 4.5)
    answers[attempt] = status
    record.say(f"answer {attempt} {status}")


async def desk(record, instance, answers, stop):
    """Callers on kept connections; those that have no request open send one together."""
    connections = [Connection() for _ in range(CALLERS_PER_INSTANCE)]
    open_requests = [None] * CALLERS_PER_INSTANCE
    clump = 0
    while not stop.is_set():
        clump += 1
        for caller, request in enumerate(open_requests):
            if request is None or request.done():
                open_requests[caller] = asyncio.create_task(
                    book(record, connections[caller], instance,
                         f"{instance.name}-{caller}-{clump}", answers))
        await asyncio.sleep(CLUMP_PERIOD_S)
    await asyncio.wait([request for request in open_requests if request], timeout=6)
    for connection in connections:
        connection.close()


async def case(record):
    fleet = Fleet(record, ["a", "b", "c"])
    tasks = []
    stop = asyncio.Event()
    try:
        fleet.store.put("op/config", configuration(
            7, [route("book", "/book/", "non_idempotent", "app")], [service("app")]))
        servers = []
        for number in range(SERVERS):
            zone = fleet.zones[number % len(fleet.zones)]
            server = LossyServer(record, f"i-{number}", "app", zone, 0.06)
            await server.listen("127.0.0.1")
            fleet.store.put(server.key, server.entry())
            servers.append(server)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        answers = {}
        for instance in fleet.instances:
            tasks.append(asyncio.create_task(desk(record, instance, answers, stop)))
        for window in range(WINDOWS):
            losing = [servers[(window + step) % SERVERS] for step in range(LOSING_SERVERS)]
            for server in losing:
                server.losing = TROUBLE
            await asyncio.sleep(LOSING_S)
            for server in losing:
                server.losing = False
            await asyncio.sleep(CALM_S)
        stop.set()
        await asyncio.wait(tasks, timeout=8)
        runs = Counter(attempt for server in servers for _, attempt, *_ in server.runs)
        twice = sorted(attempt for attempt, count in runs.items() if count > 1)
        lost = sum(len(server.lost) for server in servers)
        if len(answers) < 2000 or (TROUBLE and lost < 200):
            raise CannotRun("too few bookings")
        for attempt in twice:
            record.say(f"ran {runs[attempt]} times: {attempt}, answered {answers.get(attempt)}")
        summary = (f"{len(answers)} bookings, {lost} answers lost by a reset, "
                   f"{len(twice)} bookings ran twice; answers {dict(Counter(answers.values()))}")
        record.say(summary)
        print(summary)
        return not twice
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(FOLDER, case)
