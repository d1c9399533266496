"""The store is silent for a few seconds right after a manifest; the next manifest comes when it is stable again."""
import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, ZONE = "badges.example", "zone-a"
MACHINES, APPLY_S, SILENCE_S, STABLE_S = 3, 2.0, 4.5, 3.0


def manifest(version, service, timeout_s, added=()):
    paths = [stand_ins.route("badge-lookup", "/badge/", "safe", service, timeout_s)]
    paths += [stand_ins.route(name, f"/{name}/", "safe", "register", 2.0) for name in added]
    return stand_ins.manifest({HOST: paths}, ["register", "archive"], version)


async def main():
    record = stand_ins.Record(FOLDER)
    store = stand_ins.Store(record)
    await store.start()

    def confirm(version, *arguments):
        store.write("op", "config", manifest(version, *arguments))
        record.write(f"the store confirms manifest {version}")
        return time.monotonic()

    confirm("r1", "register", 2.0)
    backends = [stand_ins.Backend(store, record, f"i-{service}-{i}", service, ZONE, work_s=0.02)
                for service in ("register", "archive") for i in range(3)]
    for backend in backends:
        await backend.start()
    fleet = stand_ins.Fleet(store, MACHINES, [ZONE])
    try:
        for i in range(MACHINES):
            fleet.start(i)
        for i in range(MACHINES):
            await fleet.wait_ready(i)
        await asyncio.sleep(5)
        confirm("r2", "register", 1.9)
        await asyncio.sleep(0.1)
        if TROUBLE:
            record.write(f"the store is silent for {SILENCE_S} s")
            store.is_silent = True
        await asyncio.sleep(SILENCE_S)
        store.is_silent = False
        record.write("the store answers again")
        await asyncio.sleep(STABLE_S + 1)
        confirmed = confirm("r3", "archive", 2.0, ("notices",))
        await asyncio.sleep(APPLY_S + 0.1)
        wrong = 0
        for number in range(60):
            for machine in range(MACHINES):
                for path, service in (("/badge/7", "archive"), ("/notices/7", "register")):
                    name = f"{path[1:3]}-{machine}-{number:06d}"
                    connection = stand_ins.Requester(record)
                    await connection.open(fleet.addresses[machine], fleet.front)
                    sent = time.monotonic() - confirmed
                    await connection.send("GET", path, HOST, name, 1500)
                    answer = await connection.receive(3)
                    connection.writer.close()
                    status = answer if answer in (None, "timeout") else answer[0]
                    ran = [backend.service for backend in backends for _, run in backend.runs if run == name]
                    if status == 404 or ran and ran[0] != service:
                        wrong += 1
                        record.write(f"CONFIG: {name}, sent {sent:.3f} s after r3 was confirmed, got {status} and was "
                                     f"run by {ran or 'nobody'}; r3 says {service}")
            await asyncio.sleep(0.1)
        record.write(f"{wrong} of {60 * MACHINES * 2} requests handled as only an older manifest allows")
        return 1 if wrong else 0
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    stand_ins.main_of(main)
