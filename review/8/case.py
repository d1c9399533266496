"""Processes that start while the store is slow divide a tenant's rate among the few members that they know."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand_ins_2 import BROKEN, HELD, TROUBLE, Backend, Fleet, exchange, manifest, route, run_case  # noqa: E402

# Of the site dsl-hobart-grown.
BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 158, "probes_per_s": 42, "quota_slack": 20,
          "cold_slack": 8}
ZONES = ("tas-south-a", "tas-south-b", "tas-south-c")
INSTANCES = {number: ZONES[number % 3] for number in range(1, 13)}
QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5, 0.1, 20
RATE, BURST = 100, 20
LIMIT = (RATE * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
SLOWDOWN, SLOW_S = 60, 4.5  # The store's answers take so many times as long, for so long.
DOWN_S = 1.0
REQUESTS_PER_S = 25  # At each instance; the tenant sends three times its rate.


async def send_load(record, fleet, number, sent, until):
    async def send(name):
        sent[name] = time.monotonic()
        try:
            answer = await exchange(fleet.host(number), fleet.ports["front"], "GET", "/check/1",
                                    [("Request-Id", name), ("Deadline-Ms", "3000"), ("Api-Key", "key-1")])
        except OSError:
            answer = None
        record.note(f"requester: {name} at instance {number}: {answer[0] if answer else 'closed'}")
        return answer[0] if answer else 0

    tasks, began, i = [], time.monotonic(), 0
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send(f"q{number}-{i}")))
        i += 1
        await asyncio.sleep(max(0, began + i / REQUESTS_PER_S - time.monotonic()))
    return await asyncio.gather(*tasks)


def most_in_a_window(sent, runs):
    """The most requests that were sent and arrived at a backend that ran them, within one window."""
    times = sorted((sent[name], arrived) for arrived, name, _, _ in runs)
    return max((sum(1 for begun, arrived in times if begun >= start and arrived <= start + QUOTA_WINDOW_S)
                for start, _ in times), default=0)


async def make_slow(record, store):
    record.say(f"store: answers take {SLOWDOWN} times as long")
    store.slowdown = SLOWDOWN
    await asyncio.sleep(SLOW_S)
    store.slowdown, store.part_free_at = 1, 0.0
    record.say("store: answers take as long as usual")


async def case(record, store, fleets):
    tenants = [{"name": "t1", "api_keys": ["key-1"], "priority": 0, "rate_per_s": RATE, "burst": BURST}]
    await store.put("op", "config", manifest(3, [route("check", "safe", "validator", 3)], ["validator"], tenants))
    backends = [Backend(record, store, f"i-{i}", "validator", ZONES[i % 3], slots=2, work_s=0.01) for i in range(9)]
    for backend in backends:
        await backend.start("127.0.0.1")
    fleet = Fleet(record, store, BOUNDS)
    fleets.append(fleet)
    for number, zone in INSTANCES.items():
        await fleet.start(number, zone, seeds=(1, 2, 3))
    await fleet.wait_until_ready(*INSTANCES)
    await asyncio.sleep(5)
    sent, until = {}, time.monotonic() + 14
    loads = [asyncio.create_task(send_load(record, fleet, number, sent, until)) for number in INSTANCES]
    await asyncio.sleep(3)

    slow = asyncio.create_task(make_slow(record, store)) if TROUBLE else None
    await asyncio.sleep(0.5)
    record.say("all processes are killed")
    for process in fleet.processes.values():
        process.kill()
        await process.wait()
    await asyncio.sleep(DOWN_S)
    for number, zone in INSTANCES.items():
        await fleet.start(number, zone, seeds=(1, 2, 3))
    await fleet.wait_until_ready(*INSTANCES)
    statuses = await asyncio.gather(*loads)
    if slow:
        await slow
    runs = [run for backend in backends for run in backend.runs if run[1] in sent]
    most = most_in_a_window(sent, runs)
    record.say(f"answers: {({status: sum(each.count(status) for each in statuses) for status in {s for each in statuses for s in each}})}")
    seconds = sorted(int(run[0] - record.began) for run in runs)
    record.say(f"runs by second: {({second: seconds.count(second) for second in sorted(set(seconds))})}")
    record.say(f"most requests of the tenant run in a window of {QUOTA_WINDOW_S} s: {most}; allowed {LIMIT:.0f}")
    return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
