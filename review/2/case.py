"""The last tenant's keys are taken away with the tenant (rules ROUTE and CONFIG)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from fleet import TROUBLE, CannotRun, Fleet, call, configuration, route, run_case, service

CONFIG_APPLY_S = 2.0
REQUESTS = 20
ROUTES = [route("book", "/book/", "non_idempotent", "app")]
SERVICES = [service("app")]


async def book(record, fleet, label, key):
    """Sends bookings with the key to all instances in turn; returns their ids and statuses."""
    answers = {}
    for number in range(REQUESTS):
        instance = fleet.instances[number % len(fleet.instances)]
        attempt = f"{label}-{number}"
        record.say(f"sent {attempt} to {instance.name} with key {key}")
        status, _, _ = await call(instance.addresses["front"], "POST", "/book/1",
                                  {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000",
                                   "X-Api-Key": key}, b"tape")
        answers[attempt] = status
        record.say(f"answer {attempt} {status}")
    return answers


async def case(record):
    fleet = Fleet(record, ["a", "b", "c"])
    try:
        fleet.store.put("op/config", configuration(
            7, ROUTES, SERVICES, [{"name": "firm", "api_keys": ["held-key"]}]))
        server = await fleet.add_server("i-1", "app", "a")
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        before = await book(record, fleet, "before", "held-key")
        forged = await book(record, fleet, "forged-before", "forged-key")
        if any(status != 200 for status in before.values()) or \
                any(status != 401 for status in forged.values()):
            raise CannotRun("keys are not checked at the start")
        # the tenant leaves: its keys go. With TROUBLE=0 another tenant remains.
        remaining = [] if TROUBLE else [{"name": "other", "api_keys": ["other-key"]}]
        fleet.store.put("op/config", configuration(9, ROUTES, SERVICES, remaining))
        record.say(f"store confirms version 9, tenants {remaining}")
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        await book(record, fleet, "dropped", "held-key")
        await book(record, fleet, "forged", "forged-key")
        ran = [attempt for _, attempt, _, _ in server.runs]
        dropped = sum(attempt.startswith("dropped-") for attempt in ran)
        unknown = sum(attempt.startswith("forged-") for attempt in ran)
        summary = (f"of {REQUESTS} bookings each, run more than {CONFIG_APPLY_S + 1:.0f} s after "
                   f"the confirmation: with the dropped key {dropped}, with a key that no "
                   f"configuration ever held {unknown}")
        record.say(summary)
        print(summary)
        return dropped == 0 and unknown == 0
    finally:
        await fleet.stop()


run_case(FOLDER, case)
