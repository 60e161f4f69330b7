"""Most machines are lost at once: does the directory still name them long after?"""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as s

MACHINES = 9              # "9 edge in 3 zones"
LOST = 8                  # "to be borne at once: the loss of any number of them"
WATCHED_S = 20.0


async def case(record, folder):
    store = s.Store(record)
    await store.start()
    zones = ["hobart-a", "hobart-b", "hobart-c"]
    store.put("op/config", s.configuration(
        7, [s.route("read", "/read/", "idempotent", "app", max_attempts=2)], [s.service("app")]))
    server = s.Server(record, store, "app", zones[0])
    instances = [s.Instance(record, folder, number, zones[number % 3], store.address)
                 for number in range(MACHINES)]
    for instance in instances:
        instance.seeds = [other.address("control") for other in instances[:3]]
    late = []
    answers = 0
    try:
        await server.start()
        for instance in instances:
            await instance.start()
        await s.wait_ready(instances)
        await asyncio.sleep(6)

        async def resolve(instance):
            answer = await s.ask(instance.address("directory"), (
                f"GET /cyclamenpost/resolve?name={s.HOST}&region=tas-south&zone={instance.zone} "
                f"HTTP/1.1\r\nHost: {s.HOST}\r\n\r\n").encode(), 1)
            if answer.status != 200:
                return []
            return json.loads(answer.body)["addresses"]

        lost = instances[MACHINES - LOST:] if s.trouble() else []
        left = instances[:MACHINES - LOST]
        for instance in left:
            record.line("before", instance.name, "names", len(await resolve(instance)))
        names = {instance.address("front"): instance.name for instance in instances}
        for instance in lost:
            instance.signal(signal.SIGKILL)
        lost_at = record.now()
        record.line("lost", *(instance.name for instance in lost))
        gone = {instance.address("front") for instance in lost}
        while record.now() < lost_at + WATCHED_S:
            for instance in left:
                addresses = await resolve(instance)
                asked = record.now()
                named = [names.get(address, address) for address in addresses if address in gone]
                alive = [address for address in addresses if address not in gone]
                record.line(f"{asked - lost_at:.2f} s after:", instance.name, "names",
                            len(addresses), "of them lost", *named)
                if asked - lost_at > s.STABLE_S + 3 + 0.1:
                    answers += 1
                    if named and alive:
                        late.append((asked - lost_at, instance.name, len(named)))
            await asyncio.sleep(0.25)
    finally:
        for instance in instances:
            await instance.stop()
    record.line(f"answers later than stable_ms + 3 s after the loss: {answers}, of which "
                f"{len(late)} name a lost machine beside a running one, the last "
                f"{max((one[0] for one in late), default=0):.1f} s after it")
    print(open(record.path).read().splitlines()[-1])
    return len(late) <= 3


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
