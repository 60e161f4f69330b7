"""A request crashes each server that begins to run it, and comes again and again.

The servers start again under their ids. Usage: case.py RECORD
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
BACK_S = 2.0            # a server is back after some seconds
WRITES_S = 0.8          # its entry follows within heartbeat_ms, 1.2 s; lag_ms of coica-hub is 800
BAD_EVERY_S = 2.0
SOUND_PER_S = 30
PLAY_S = 40.0
BAD_PATH, BAD_BODY = "/post/closure-77", b"the closure that no server survives"


class App(Server):
    """A server that ends when it begins to run the bad request, and starts again."""

    async def answer(self, line, fields, body, reader, writer, number):
        if body == BAD_BODY:
            attempt = self.run(line, fields, body)
            await asyncio.sleep(0.02)
            if self.alive:
                self.crash(attempt)
            raise ConnectionError
        await super().answer(line, fields, body, reader, writer, number)

    alive = True

    def crash(self, attempt):
        self.alive = False
        self.crashes.append(self.record.now())
        self.record(f"server {self.name}: crashes on {attempt}")
        self.stop()
        self.fleet.tasks.append(asyncio.create_task(self.start_again()))

    async def start_again(self):
        await asyncio.sleep(BACK_S)
        await self.listen(self.ip, self.port)
        self.alive = True
        self.born = int(time.time() * 1000)
        self.record(f"server {self.name}: started again")
        await asyncio.sleep(WRITES_S)
        self.fleet.store.put(self.key, self.entry())


async def ask(fleet, results, number, kind, path, body):
    instance = fleet.instances[number % len(fleet.instances)]
    attempt = f"{kind}-{number}"
    sent = fleet.record.now()
    try:
        answer = await asyncio.wait_for(
            Client().ask(instance.front, "POST", path,
                         {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000",
                          "X-Api-Key": "key-of-desk"}, body), 5)
        status = answer.status
    except (OSError, asyncio.TimeoutError):
        status = 0
    fleet.record(f"{attempt}: sent {sent:.3f}, status {status}")
    results.append((sent, kind, status))


async def every(seconds, until, send):
    begun = time.monotonic()
    tasks = []
    for number in itertools.count(1):
        if time.monotonic() - begun >= until:
            break
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(max(0, begun + number * seconds - time.monotonic()))
    await asyncio.gather(*tasks)


async def play(record):
    fleet = Fleet(record, ["za", "zb", "zc"])
    fleet.tasks = []
    crashes = []
    results = []
    try:
        fleet.store.put("op/config", configuration(
            7, [route("post", "/post/", "non_idempotent", "app", slo_ms=300, timeout_ms=4000,
                      max_attempts=1, public=False)],
            ["app"], tenants=[{"name": "desk", "api_keys": ["key-of-desk"]}]))
        for number, zone in enumerate(fleet.zones):
            server = App(record, f"i-{number + 1}", "app", zone, 0.15, capacity=6)
            server.fleet, server.crashes = fleet, crashes
            await fleet.add(server)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)

        async def bad():
            if TROUBLE:
                await every(BAD_EVERY_S, PLAY_S,
                            lambda number: ask(fleet, results, number, "bad", BAD_PATH, BAD_BODY))

        await asyncio.gather(bad(), every(
            1 / SOUND_PER_S, PLAY_S,
            lambda number: ask(fleet, results, number, "sound", f"/post/c-{number}", b"%d" % number)))
        reached = sorted(run[0] for server in fleet.servers for run in server.runs
                         if run[1].startswith("bad"))
        if TROUBLE and len(crashes) < 3:
            raise Unusable("fewer than three crashes")
        late = [at for at in reached if TROUBLE and at > crashes[2] + STABLE_S]
        lost = sum(kind == "sound" and status != 200 for _, kind, status in results)
        record(f"{len(crashes)} crashes; the request reached servers {len(late)} times later than "
               f"{STABLE_S} s after the third; {lost} sound requests were not served")
        print(f"{len(crashes)} crashes, {len(late)} late arrivals, {lost} of "
              f"{sum(result[1] == 'sound' for result in results)} sound requests not served")
        return 1 if len(late) > 3 else 0
    finally:
        for task in fleet.tasks:
            task.cancel()
        await fleet.stop()


sys.exit(run_case(play))
