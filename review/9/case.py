"""A late deregistration splits the fleet: two instances each act as the only holder of a tenant's rate."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand_ins_2 import BROKEN, HELD, TROUBLE, Backend, Fleet, exchange, manifest, route, run_case  # noqa: E402

# Of the site dsl-hobart-grown.
BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 158, "probes_per_s": 42, "quota_slack": 20,
          "cold_slack": 8}
QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5, 0.1, 20
RATE, BURST = 50, 20
LIMIT = (RATE * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
LATE_S = 5.5  # A write whose answer is lost may be done 1 to 6 s later.
LOSS_S = 4.5  # How long the store loses answers, of one write in three.
LOAD_S = 12
REQUESTS_PER_S = 90  # At each instance; the tenant asks for more than its rate.


def lose_one_of_three(store):
    until, first = time.monotonic() + LOSS_S, store.writes + 1
    store.lose_write = lambda number: LATE_S if time.monotonic() < until and (number - first) % 3 == 0 else None


async def send_load(record, fleet, number, sent):
    async def send(name):
        sent[name] = time.monotonic()
        try:
            answer = await exchange(fleet.host(number), fleet.ports["front"], "GET", "/check/1",
                                    [("Request-Id", name), ("Deadline-Ms", "3000"), ("Api-Key", "key-1")])
        except OSError:
            answer = None
        record.note(f"requester: {name} at instance {number}: {answer[0] if answer else 'closed'}")
        return answer[0] if answer else 0

    tasks, began = [], time.monotonic()
    for i in range(LOAD_S * REQUESTS_PER_S):
        await asyncio.sleep(max(0, began + i / REQUESTS_PER_S - time.monotonic()))
        tasks.append(asyncio.create_task(send(f"q{number}-{i}")))
    return await asyncio.gather(*tasks)


def most_in_a_window(sent, runs):
    """The most requests that were sent and arrived at a backend that ran them, within one window."""
    times = sorted((sent[name], arrived) for arrived, name, _, _ in runs)
    return max((sum(1 for begun, arrived in times if begun >= start and arrived <= start + QUOTA_WINDOW_S)
                for start, _ in times), default=0)


async def case(record, store, fleets):
    tenants = [{"name": "t1", "api_keys": ["key-1"], "priority": 0, "rate_per_s": RATE, "burst": BURST}]
    await store.put("op", "config", manifest(3, [route("check", "safe", "validator", 3)], ["validator"], tenants))
    backends = [Backend(record, store, f"i-{i}", "validator", zone, work_s=0.01)
                for i, zone in enumerate(("za", "za", "zb", "zb"))]
    for backend in backends:
        await backend.start("127.0.0.1")
    fleet = Fleet(record, store, BOUNDS)
    fleets.append(fleet)
    await fleet.start(1, "za")
    await fleet.start(2, "zb")
    await fleet.wait_until_ready(1, 2)
    await asyncio.sleep(3)

    # Planned work: instance 1 is stopped and started again.
    if TROUBLE:
        lose_one_of_three(store)
    await fleet.terminate(1)
    await asyncio.sleep(0.3)
    await fleet.start(1, "za")
    await fleet.wait_until_ready(1)
    await asyncio.sleep(8)
    record.say(f"store: members {store.keys('members')}")

    # Planned work: instance 2 is removed, and instance 3 is added in its place, at a new address.
    await fleet.terminate(2)
    await asyncio.sleep(1)
    await fleet.start(3, "zb")
    await fleet.wait_until_ready(3)
    await asyncio.sleep(8)
    for number, zone in ((1, "za"), (3, "zb")):
        record.say(f"directory of instance {number}: {[await fleet.directory(number, each) for each in ('za', 'zb')]}")

    sent = {}
    statuses = await asyncio.gather(*(send_load(record, fleet, number, sent) for number in (1, 3)))
    runs = [run for backend in backends for run in backend.runs if run[1] in sent]
    most = most_in_a_window(sent, runs)
    for number, each in zip((1, 3), statuses):
        record.say(f"instance {number}: {({status: each.count(status) for status in set(each)})}")
    record.say(f"most requests of the tenant run in a window of {QUOTA_WINDOW_S} s: {most}; allowed {LIMIT:.0f}")
    return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
