"""A failing backend runs a request and answers 503 without Not-Executed; the requester is told that it has not run."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand_ins_2 import BROKEN, HELD, TROUBLE, Backend, Fleet, exchange, manifest, route, run_case  # noqa: E402

# Of the site wvsto-badges.
BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 56, "probes_per_s": 60}
FAILED_SHARE = 0.4  # Of the requests of one backend in seven.
REQUESTS = 1500


class FailingBackend(Backend):
    """Runs each request; some of them fail in it, and it says so with a 503 of its own. Its status check is good."""

    failed = set()

    async def run(self, stream, method, target, headers, body):
        if random.random() >= FAILED_SHARE or not TROUBLE:
            return await super().run(stream, method, target, headers, body)
        request_id = headers["request-id"]
        if not await self.wait_for_slot():
            self.reject(stream)
            return True
        self.runs.append((0, request_id, target, body))
        await asyncio.sleep(self.work_s)
        await self.release_slot()
        self.failed.add(request_id)
        self.record.note(f"{self.identity}: has run {request_id}, which failed, and answers 503")
        stream.send("HTTP/1.1 503 Service Unavailable", [("Request-Id", request_id), self.load(),
                                                         ("Server-Signature", f"s.{self.identity}")], b"failed")
        return True


async def case(record, store, fleets):
    await store.put("op", "config", manifest(3, [route("payment", "unsafe", "fees-ledger", 2.5)], ["fees-ledger"]))
    backends = [(FailingBackend if i == 0 else Backend)(record, store, f"i-{i}", "fees-ledger", "civic-hall", slots=6,
                                                        queue=12, work_s=0.05) for i in range(7)]
    for backend in backends:
        await backend.start("127.0.0.1")
    fleet = Fleet(record, store, BOUNDS)
    fleets.append(fleet)
    for number in (1, 2):
        await fleet.start(number, "civic-hall")
    await fleet.wait_until_ready(1, 2)
    await asyncio.sleep(3)

    async def pay(i):
        answer = await exchange(fleet.host(1 + i % 2), fleet.ports["front"], "POST", "/payment/1",
                                [("Request-Id", f"pay-{i}"), ("Deadline-Ms", "2500")], b"pay")
        record.note(f"requester: pay-{i}: {answer[0] if answer else 'closed'}")
        return f"pay-{i}", answer[0] if answer else 0

    tasks = []
    for i in range(REQUESTS):
        tasks.append(asyncio.create_task(pay(i)))
        await asyncio.sleep(0.02)
    answers = dict(await asyncio.gather(*tasks))
    ran = {run[1] for backend in backends for run in backend.runs}
    refused = [name for name, status in answers.items() if status in (408, 421, 429, 503)]
    false = [name for name in refused if name in ran]
    record.say(f"answers {({status: list(answers.values()).count(status) for status in set(answers.values())})}")
    record.say(f"refused: {len(refused)}; of these run by a backend: {len(false)} {false[:10]}")
    return BROKEN if false else HELD


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
