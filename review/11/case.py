"""A prompt part crashes the model servers; sound requests that share the other part are refused.

Six requests with the part arrive within a quarter of a second, then one a second. Sound requests come all the while
from the same caller. Usage: case.py RECORD
"""

import asyncio
import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from stand import Client, Fleet, Server, Unusable, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = 3.0          # bounds.stable_ms
BACK_S = 3.0            # the servers are back after some seconds
SOUND_PER_S = 10
BEFORE_S = 8.0
AFTER_S = 25.0
EVENTS = 6
BAD, GOOD, SHARED = "dead01", "a11ce0", "5ea7ed"


class Engine(Server):
    """A model server. The part BAD ends it when it begins to write an answer on it."""

    async def answer(self, line, fields, body, reader, writer, number):
        attempt = self.run(line, fields, body)
        await asyncio.sleep(0.03)
        if f"{BAD}:" in fields.get("x-prompt-prefix", ""):
            self.crash(attempt)
            raise ConnectionError
        writer.write(self.head(attempt, extra="Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(1, EVENTS + 1):
            data = f"id: {event}\ndata: {attempt} piece {event}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def crash(self, attempt):
        if self in self.pool.up:
            self.record(f"server {self.name}: crashes on {attempt}")
            self.pool.crashed(self)
            self.stop()


class Pool:
    """The model servers of the fleet; one that crashed starts again under a new id."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.up = set()
        self.crashes = []
        self.tasks = []

    async def start_server(self, zone):
        server = Engine(self.fleet.record, f"i-{next(self.numbers)}", "engine", zone, capacity=32)
        server.pool = self
        await self.fleet.add(server)
        self.up.add(server)

    def crashed(self, server):
        self.up.discard(server)
        self.crashes.append(self.fleet.record.now())
        self.tasks.append(asyncio.create_task(self.replace(server)))

    async def replace(self, server):
        await asyncio.sleep(BACK_S)
        await self.start_server(server.zone)
        await asyncio.sleep(0.6)        # three silent intervals of 1.2 s after the crash
        self.fleet.store.remove(server.key)


async def chat(fleet, results, number, kind, part):
    instance = fleet.instances[number % len(fleet.instances)]
    attempt = f"{kind}-{number}"
    fields = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "10000", "X-Api-Key": "key-of-desk",
              "X-Model": "m", "X-Token-Usage": "700,40",
              "X-Prompt-Prefix": f"{part}:200,{SHARED}:400,{0x1000 + number:x}:100"}
    sent = fleet.record.now()
    try:
        answer = await asyncio.wait_for(
            Client().ask(instance.front, "POST", f"/chat/{attempt}", fields, attempt.encode()), 11)
        status, begun = answer.status, answer.body.startswith(b"id: 1\n")
    except (OSError, asyncio.TimeoutError):
        status, begun = 0, False
    fleet.record(f"{attempt}: sent {sent:.3f}, status {status}, {'begun' if begun else 'not begun'}")
    results.append((sent, kind, status, begun))


async def every(seconds, until, send):
    tasks = []
    begun = time.monotonic()
    for number in itertools.count(1):
        if time.monotonic() - begun >= until:
            break
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(max(0, begun + number * seconds - time.monotonic()))
    await asyncio.gather(*tasks)


async def play(record):
    fleet = Fleet(record, ["za", "zb", "zc"])
    pool = Pool(fleet)
    results = []
    try:
        fleet.store.put("op/config", configuration(
            7, [route("chat", "/chat/", "streaming", "engine", max_attempts=2, stream_resume=True,
                      session_affinity=True, gap_aim_ms=400, public=False)],
            ["engine"], tenants=[{"name": "desk", "api_keys": ["key-of-desk"]}]))
        for zone in fleet.zones:
            await pool.start_server(zone)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        begun = record.now()

        async def poison():
            await asyncio.sleep(BEFORE_S)
            if TROUBLE:
                await asyncio.gather(
                    every(0.04, 6 * 0.04, lambda number: chat(fleet, results, number, "bad", BAD)),
                    every(1, AFTER_S, lambda number: chat(fleet, results, 9 + number, "bad", BAD)))

        await asyncio.gather(
            poison(),
            every(1 / SOUND_PER_S, BEFORE_S + AFTER_S,
                  lambda number: chat(fleet, results, number, "sound", GOOD)))
        sound = [result for result in results if result[1] == "sound"]
        before = [one for one in sound if one[0] < begun + BEFORE_S - 0.5]
        crashes = pool.crashes[:5]
        since = (crashes[-1] if crashes else begun + BEFORE_S) + 2 * STABLE_S
        after = [one for one in sound if one[0] >= since]
        if len(before) < 20 or len(after) < 20 or (TROUBLE and not crashes):
            raise Unusable("too few requests or no crash")
        share = [sum(one[3] for one in part) / len(part) for part in (before, after)]
        record(f"crashes {[round(at, 3) for at in pool.crashes]}; sound requests that began at the "
               f"first attempt: {share[0]:.2f} of {len(before)} before, {share[1]:.2f} of "
               f"{len(after)} from {since:.3f} on")
        print(f"sound requests begun: {share[0]:.2f} before, {share[1]:.2f} after; "
              f"{len(pool.crashes)} crashes")
        return 1 if share[1] < share[0] / 2 else 0
    finally:
        for task in pool.tasks:
            task.cancel()
        await fleet.stop()


sys.exit(run_case(play))
