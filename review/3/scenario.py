"""The reader of the list is killed during a release, some time after an outage of the store."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, ZONE = "badges.example", "zone-a"
MACHINES, DRAIN_S, STAYS_S, OUTAGE_S, CALM_S = 4, 2.0, 6.0, 4.5, 10.0


async def replace(store, record, backends, number):
    """A release: a new backend starts, then an old one's entry is removed; the old one serves on for a while."""
    old = backends[number]
    fresh = stand_ins.Backend(store, record, f"i-new{number:02d}", "register", ZONE)
    await fresh.start()
    await asyncio.sleep(0.2)
    old.remove_entry()
    await asyncio.sleep(STAYS_S)
    await old.stop()
    return fresh


async def main():
    record = stand_ins.Record(FOLDER)
    store = stand_ins.Store(record)
    await store.start(doors=MACHINES)
    store.write("op", "config", stand_ins.manifest(
        {HOST: [stand_ins.route("badge-lookup", "/badge/", "safe", "register", 2.0)]}, ["register"]))
    backends = [stand_ins.Backend(store, record, f"i-old{i:02d}", "register", ZONE, work_s=0.02) for i in range(12)]
    for backend in backends:
        await backend.start()
    fleet = stand_ins.Fleet(store, MACHINES, [ZONE])
    traffic = stand_ins.Traffic(record, HOST, "/badge/7", per_s=40)
    try:
        for i in range(MACHINES):
            fleet.start(i)
        for i in range(MACHINES):
            await fleet.wait_ready(i)
        await asyncio.sleep(5)
        if TROUBLE:
            record.write(f"the store is down (503) for {OUTAGE_S} s")
            store.is_down = True
            await asyncio.sleep(OUTAGE_S)
            store.is_down = False
            record.write(f"the store answers again; {CALM_S} s of calm follow")
        await asyncio.sleep(CALM_S)
        reader = store.last_list_reader
        record.write(f"machine {reader + 1} reads the list")
        others = [i for i in range(MACHINES) if i != reader]
        running = asyncio.ensure_future(traffic.run([fleet.addresses[i] for i in others], fleet.front))
        await asyncio.sleep(1.0)
        releases = []
        for number in range(10):
            releases.append(asyncio.ensure_future(replace(store, record, backends, number)))
            await asyncio.sleep(0.4)
            if number == 3 and TROUBLE:
                record.write(f"the process of machine {reader + 1} is killed")
                fleet.processes[reader].kill()
        await asyncio.sleep(STAYS_S + 1)
        traffic.stopping = True
        await running
        breaks = stand_ins.drain_breaks(record, backends, DRAIN_S)
        record.write(f"answers {traffic.answers}; {breaks} requests later than {DRAIN_S} s")
        return 1 if breaks else 0
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    stand_ins.main_of(main)
