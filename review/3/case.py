"""A machine loses power right after it took a change of the configuration (rule CONFIG)."""

import asyncio
import os
import re
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from fleet import (TROUBLE, CannotRun, Connection, Fleet, call, configuration, request_bytes,
                   route, run_case, service)

MACHINES = 16               # of one zone; coica-hub-grown has 17 to 19 in each
IDLE_ROUTES = 1400          # as `big_config` on the sheet of coica-hub-grown
CONFIG_APPLY_S = 3.0        # config_apply_ms there; 2,000 on the small sheets
DARK_S = 3.5                # as `after_ack_kill` on the users' sheets
ROUNDS = 3
WATCHED_S = 6.0


def document(version, keys):
    routes = [route("book", "/book/", "non_idempotent", "app")]
    routes += [route(f"idle-{number}", f"/idle{number:04d}/", "idempotent", "app")
               for number in range(IDLE_ROUTES)]
    return configuration(version, routes, [service("app")], [{"name": "firm", "api_keys": keys}])


def first_reader(fleet):
    """The instance that reads the store for its zone, by its own log."""
    found = []
    for instance in fleet.instances:
        with open(instance.log, errors="replace") as log:
            duties = re.findall(r"event=store_duty duty=(\w+)", log.read())
        if duties and duties[-1] == "first_reader":
            found.append(instance)
    if len(found) != 1:
        raise CannotRun(f"{len(found)} instances are the first reader")
    return found[0]


async def wait_until_refused(instance, key):
    """Returns as soon as the instance refuses the key: it has taken the change."""
    connection = Connection()
    await connection.open(instance.addresses["front"])
    for number in range(2000):
        # a route without servers that do anything: nothing runs
        status, _, _ = await connection.exchange(request_bytes(
            "GET", "/idle0001/1", {"X-Attempt-Id": f"probe-{key}-{number}", "X-Deadline-Ms": "500",
                                   "X-Api-Key": key}), 1.0)
        if status == 401:
            connection.close()
            return
    raise CannotRun("the change was not taken")


async def use_dropped_key(record, instance, key, confirmed, accepted):
    """Sends bookings with the dropped key; notes when one sent too late still ran."""
    number = 0
    while record.now() < confirmed + WATCHED_S:
        number += 1
        attempt = f"{key}-{instance.name}-{number}"
        sent = record.now()
        status, _, _ = await call(instance.addresses["front"], "POST", "/book/1",
                                  {"X-Attempt-Id": attempt, "X-Deadline-Ms": "2000",
                                   "X-Api-Key": key}, b"tape")
        record.say(f"{attempt} sent {sent - confirmed:.3f} s after the confirmation: {status}")
        if status == 200:
            accepted[attempt] = sent - confirmed
        await asyncio.sleep(0.05)


async def case(record):
    fleet = Fleet(record, ["a"] * MACHINES)
    try:
        keys = [f"key-{number}" for number in range(ROUNDS)]
        fleet.store.put("op/config", document(7, ["held"] + keys))
        server = await fleet.add_server("i-1", "app", "a", work_s=0.005)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(7)
        worst, machines, late_runs = 0.0, set(), 0
        for number, key in enumerate(keys):
            reader = first_reader(fleet)
            refused = asyncio.create_task(wait_until_refused(reader, key))
            await asyncio.sleep(0.05)
            fleet.store.put("op/config", document(8 + number, ["held"] + keys[number + 1:]))
            confirmed = record.now()
            record.say(f"store confirms version {8 + number} without {key}", confirmed)
            await refused
            if TROUBLE:
                reader.signal(signal.SIGSTOP)
                record.say(f"{reader.name} has taken the change and goes dark")
            accepted = {}
            watches = [asyncio.create_task(
                use_dropped_key(record, instance, key, confirmed, accepted))
                for instance in fleet.instances if instance is not reader]
            await asyncio.sleep(DARK_S)
            if TROUBLE:
                reader.signal(signal.SIGKILL)
                await reader.process.wait()
                await reader.start()
            await asyncio.wait(watches)
            ran = {attempt for _, attempt, *_ in server.runs}
            late = {attempt: after for attempt, after in accepted.items()
                    if after > CONFIG_APPLY_S and attempt in ran}
            late_runs += len(late)
            machines |= {attempt.rsplit("-", 1)[0].removeprefix(key + "-") for attempt in late}
            worst = max([worst, *late.values()])
            await asyncio.sleep(8)
        summary = (f"bookings with a dropped key that were sent later than {CONFIG_APPLY_S:.0f} s "
                   f"after the confirmation and ran: {late_runs}, at {len(machines)} of "
                   f"{MACHINES - 1} machines in touch, the last {worst:.2f} s after it")
        record.say(summary)
        print(summary)
        return late_runs == 0
    finally:
        await fleet.stop()


run_case(FOLDER, case)
