"""The holders of a tenant's rate are lost for good; the instances that are back give the tenant nothing."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand_ins_2 import BROKEN, HELD, TROUBLE, Backend, Fleet, exchange, manifest, route, run_case  # noqa: E402

# Of the site dsl-hobart-grown, whose machines have 0.1 to 0.5 cores.
BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 158, "probes_per_s": 42, "quota_slack": 20,
          "cold_slack": 8}
CORES = {1: 0.5, 2: 0.5, 3: 0.2, 4: 0.2}
LOST_FOR_GOOD = (1, 2)
RECOVER_S = 15
RATE, BURST = 50, 20
REQUESTS_PER_S = 20  # The tenant asks for less than half of its rate.
LOAD_S = 10


async def send_load(record, fleet, numbers, name):
    """Requests at the instances that the directory of the last one names. Returns their statuses."""
    addresses = await fleet.directory(numbers[-1], "tas-south-a") or []
    record.say(f"directory of instance {numbers[-1]}: {addresses}")

    async def send(i):
        host, port = addresses[i % len(addresses)].split(":")
        try:
            answer = await exchange(host, int(port), "GET", "/check/1", [("Request-Id", f"{name}-{i}"),
                                                                         ("Deadline-Ms", "3000"), ("Api-Key", "key-1")])
        except OSError:
            answer = None
        record.note(f"requester: {name}-{i} at {host}: {answer[0] if answer else 'closed'}")
        return answer[0] if answer else 0

    tasks, began = [], time.monotonic()
    for i in range(LOAD_S * REQUESTS_PER_S):
        await asyncio.sleep(max(0, began + i / REQUESTS_PER_S - time.monotonic()))
        tasks.append(asyncio.create_task(send(i)))
    statuses = await asyncio.gather(*tasks)
    record.say(f"{name}: {({status: statuses.count(status) for status in set(statuses)})}")
    return statuses.count(200) / len(statuses)


async def case(record, store, fleets):
    tenants = [{"name": "t1", "api_keys": ["key-1"], "priority": 0, "rate_per_s": RATE, "burst": BURST}]
    await store.put("op", "config", manifest(3, [route("check", "safe", "validator", 3)], ["validator"], tenants))
    for i in range(4):
        await Backend(record, store, f"i-{i}", "validator", "tas-south-a").start("127.0.0.1")
    fleet = Fleet(record, store, BOUNDS)
    fleets.append(fleet)

    async def start(number):
        fleet.bounds["cpu_share"] = CORES[number]
        await fleet.start(number, "tas-south-a", seeds=(1, 2, 3))

    for number in CORES:
        await start(number)
    await fleet.wait_until_ready(*CORES)
    await asyncio.sleep(4)
    before = await send_load(record, fleet, tuple(CORES), "before")

    record.say("all processes are killed")
    for process in fleet.processes.values():
        process.kill()
        await process.wait()
    await asyncio.sleep(1)
    back = [number for number in CORES if not TROUBLE or number not in LOST_FOR_GOOD]
    for number in back:
        await start(number)
    await fleet.wait_until_ready(*back)
    await asyncio.sleep(RECOVER_S + 1)
    after = await send_load(record, fleet, back, "after")
    record.say(f"served: {before:.2f} before, {after:.2f} later than {RECOVER_S} s after the machines were back")
    return BROKEN if before >= 0.25 > after else HELD


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
