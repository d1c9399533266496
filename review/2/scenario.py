"""A requester sends a payment on a kept connection 3.1 s after the SIGTERM of its machine."""
import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, ZONE = "pay.example", "zone-a"
BUDGET_MS, WORK_S = 2500, 2.4


async def pay(record, connection, backends, number, at, sigterm_at):
    """Sends one payment `at` seconds after the SIGTERM; returns whether the rule was broken."""
    await asyncio.sleep(max(0, sigterm_at + at - time.monotonic()))
    name = f"payment{number:09d}"
    sent = time.monotonic()
    await connection.send("POST", "/renew/1", HOST, name, BUDGET_MS, b"amount=10")
    answer = await connection.receive(BUDGET_MS / 1000 + 1)
    took = time.monotonic() - sent
    ran = any(name == run for backend in backends for _, run in backend.runs)
    lost = answer is None and ran and took < BUDGET_MS / 1000
    record.write(f"{name}: sent {sent - sigterm_at:.3f} s after the SIGTERM, "
                 f"{'passed on to a backend' if ran else 'not passed on'}, "
                 f"{'no answer' if answer is None else answer if answer == 'timeout' else answer[0]} "
                 f"after {took:.3f} s{': LOST' if lost else ''}")
    return lost


async def main():
    record = stand_ins.Record(FOLDER)
    store = stand_ins.Store(record)
    await store.start()
    store.write("op", "config", stand_ins.manifest(
        {HOST: [stand_ins.route("renewal-payment", "/renew/", "unsafe", "fees", 2.5)]}, ["fees"]))
    backends = [stand_ins.Backend(store, record, f"i-{i:04d}", "fees", ZONE, work_s=0.2) for i in range(4)]
    for backend in backends:
        await backend.start()
    fleet = stand_ins.Fleet(store, 2, [ZONE])
    try:
        for i in range(2):
            fleet.start(i)
        for i in range(2):
            await fleet.wait_ready(i)
        await asyncio.sleep(4)
        addresses = await fleet.resolve(0, HOST, ZONE)
        record.write(f"the directory answers {addresses}")
        if f"{fleet.addresses[0]}:{fleet.front}" not in addresses["addresses"]:
            return 2
        connections = []
        for number in range(6):
            connection = stand_ins.Requester(record)
            await connection.open(fleet.addresses[0], fleet.front)
            await connection.send("POST", "/renew/1", HOST, f"earlier{number:09d}", BUDGET_MS, b"amount=10")
            answer = await connection.receive(5)
            if answer is None or answer == "timeout" or answer[0] != 200:
                return 2
            connections.append(connection)
        for backend in backends:
            backend.work_s = WORK_S
        sigterm_at = time.monotonic()
        if TROUBLE:
            record.write("SIGTERM to the first process")
            fleet.processes[0].terminate()
        lost = await asyncio.gather(*(pay(record, connection, backends, number, 3.05 + 0.03 * number, sigterm_at)
                                      for number, connection in enumerate(connections)))
        if TROUBLE:
            code = await asyncio.to_thread(fleet.processes[0].wait, 10)
            record.write(f"the first process has exited with {code}, {time.monotonic() - sigterm_at:.3f} s after "
                         "the SIGTERM")
        await asyncio.sleep(1)
        record.write(f"{sum(lost)} of {len(lost)} payments lost")
        return 1 if any(lost) else 0
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    stand_ins.main_of(main)
