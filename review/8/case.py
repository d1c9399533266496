"""A request inside the body of another one is run, when the body has a transfer coding that has no end of its own."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand_ins_2 import BROKEN, HELD, TROUBLE, Backend, Fleet, Stream, manifest, route, run_case  # noqa: E402

# Of the site lantern-screens.
BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 62, "probes_per_s": 60}
CODINGS = ("identity", "gzip", "x-slides")


async def send_slide(record, fleet, name, coding):
    """A slide whose bytes are those of a request; returns the statuses of all answers."""
    slide = (f"POST /clear/board HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inside-{name}\r\nContent-Length: 0\r\n\r\n"
             ).encode()
    length = f"Transfer-Encoding: {coding}" if TROUBLE else f"Content-Length: {len(slide)}"
    stream = Stream(*await asyncio.open_connection(fleet.host(1), fleet.ports["front"]))
    stream.writer.write(f"POST /slide/push HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\nDeadline-Ms: 1500\r\n"
                        f"{length}\r\n\r\n".encode() + slide)
    statuses = []
    try:
        while message := await asyncio.wait_for(stream.read_message(), 2):
            statuses.append(message[0][1])
    except (ConnectionError, asyncio.TimeoutError):
        pass
    stream.close()
    record.say(f"requester: {name}, {length}: answers {statuses}")
    return slide


async def case(record, store, fleets):
    routes = [route("slide", "unsafe", "slide-relay", 0.8), route("clear", "unsafe", "classroom-control", 0.8)]
    await store.put("op", "config", manifest(3, routes, ["slide-relay", "classroom-control"]))
    backends = [Backend(record, store, f"i-{service}-{i}", service, "tw-north-a", work_s=0.07)
                for service in ("slide-relay", "classroom-control") for i in range(2)]
    for backend in backends:
        await backend.start("127.0.0.1")
    fleet = Fleet(record, store, BOUNDS)
    fleets.append(fleet)
    await fleet.start(1, "tw-north-a")
    await fleet.wait_until_ready(1)
    await asyncio.sleep(3)
    sent = {}
    for coding in CODINGS:
        sent[f"slide-{coding}"] = await send_slide(record, fleet, f"slide-{coding}", coding)
    broken = False
    for backend in backends:
        for _, name, path, body in backend.runs:
            if name not in sent:
                record.say(f"{backend.identity} ran {name} {path}, which no requester sent")
                broken = True
            elif body != sent[name]:
                record.say(f"{backend.identity} ran {name} with {len(body)} bytes of its {len(sent[name])}")
                broken = True
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
