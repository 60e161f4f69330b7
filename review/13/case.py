"""A server leaves shortly after one machine had lost its way to the store for some seconds.

That machine tells the others of its zone that the entry may only have lapsed, and they go on using
the server. Usage: case.py RECORD
"""

import asyncio
import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from stand import (Client, Fleet, Listener, Server, Unusable, configuration, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0           # bounds.drain_ms
LONGER_S = 0.07         # the server serves a little longer, then it exits
CUT_S = 4.0
PER_S = 120


class Path(Listener):
    """One machine's way to the store; cut, it passes nothing."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.open = True

    def cut(self):
        self.open = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if not self.open:
            return
        far_reader, far_writer = await asyncio.open_connection(self.store.ip, self.store.port)
        self.writers.add(far_writer)

        async def copy(source, sink):
            while data := await source.read(65536):
                sink.write(data)
                await sink.drain()
        tasks = [asyncio.create_task(copy(reader, far_writer)),
                 asyncio.create_task(copy(far_reader, writer))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            far_writer.transport.abort()
            self.writers.discard(far_writer)


def duty_of(instance):
    """What the machine last logged of its duty to read the store for its zone."""
    duty = ""
    with open(instance.log) as log:
        for line in log:
            if "store_duty" in line:
                duty = line
    return next((word for word in ("first_reader", "standby", "backup", "none") if word in duty), "")


async def press(fleet, instance, until, results):
    async def one(number):
        attempt = f"r-{number}"
        sent = fleet.record.now()
        try:
            answer = await asyncio.wait_for(
                Client().ask(instance.front, "POST", f"/post/{number}",
                             {"X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"}, b"a"), 4)
            results.append((sent, answer.status))
        except (OSError, asyncio.TimeoutError):
            results.append((sent, 0))
    begun = time.monotonic()
    tasks = []
    for number in itertools.count():
        if fleet.record.now() >= until():
            break
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(max(0, begun + (number + 1) / PER_S - time.monotonic()))
    await asyncio.gather(*tasks)


async def play(record):
    fleet = Fleet(record, ["za"] * 4 + ["zb"] * 4)
    results = []
    paths = {}
    try:
        fleet.store.put("op/config", configuration(
            7, [route("post", "/post/", "non_idempotent", "app", max_attempts=1)], ["app"]))
        for number, zone in enumerate(("za", "zb", "za")):
            await fleet.add(Server(record, f"i-{number + 1}", "app", zone, 0.05, capacity=50))
        await fleet.store.listen()
        for instance in fleet.instances:
            paths[instance] = path = Path(fleet.store)
            await path.listen()
            instance.write_settings(store=path.address)
            await instance.start()
        await fleet.wait_ready()
        await asyncio.sleep(6)
        duties = {instance: duty_of(instance) for instance in fleet.instances}
        record(f"duties {[(instance.name, duty) for instance, duty in duties.items()]}")
        reader = next((one for one, duty in duties.items() if duty == "first_reader"), None)
        follower = next((one for one, duty in duties.items()
                         if reader and duty == "none" and one.zone == reader.zone), None)
        if follower is None:
            raise Unusable("no machine of a reader's zone leaves the reading to others")
        if TROUBLE:
            record(f"{reader.name}: way to the store cut")
            paths[reader].cut()
        await asyncio.sleep(CUT_S)
        paths[reader].open = True
        record(f"{reader.name}: way to the store open")
        await asyncio.sleep(1)
        end = [float("inf")]
        pressing = asyncio.create_task(press(fleet, follower, lambda: end[0], results))
        await asyncio.sleep(0.3)
        leaving = fleet.servers[0]
        await fleet.add(Server(record, "i-9", "app", leaving.zone, 0.05, capacity=50))
        await asyncio.sleep(0.02)
        fleet.store.remove(leaving.key)
        gone = record.now()
        end[0] = gone + DRAIN_S + 2
        await asyncio.sleep(DRAIN_S + LONGER_S)
        record(f"server {leaving.name}: exits")
        leaving.stop()
        await pressing
        late = [run for run in leaving.runs if run[0] > gone + DRAIN_S]
        last = max((run[0] for run in leaving.runs), default=gone) - gone
        served = sum(status == 200 for _, status in results)
        record(f"{served} of {len(results)} served; the last request reached {leaving.name} "
               f"{last:.3f} s after its entry was removed; {len(late)} later than {DRAIN_S} s")
        print(f"last request {last:.3f} s after the removal, {len(late)} late, "
              f"{served} of {len(results)} served")
        if served < len(results) / 2:
            raise Unusable("most requests were not served")
        return 1 if late else 0
    finally:
        for path in paths.values():
            path.stop()
        await fleet.stop()


sys.exit(run_case(play))
