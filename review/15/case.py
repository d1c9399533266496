"""A server fails part of its requests while its status check is good: it runs a request and answers 503 of its own,
without `Not-Executed`."""
import random
import sys
sys.path.insert(0, str(__import__("pathlib").Path(__file__).resolve().parent.parent))
from stand_ins_3 import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As srv_grey of the site file: 0.14 of a service's servers fail 0.45 of their requests for 6.5 s.
SERVERS, FAULTY, SHARE, START_S, FOR_S = 8, 1, 0.45, 4, 6
CALLERS, LENGTH_S = 24, 11
PROMISES = (408, 421, 429, 503)


def make_faulty(server, is_trouble, record):
    async def respond(reader, writer, line, fields, body):
        await asyncio.sleep(server.work_s)
        if is_trouble() and random.random() < SHARE:
            record.write(f"{server.name} has run {fields['request-id']} and answers 503")
            writer.write(server.own_answer(fields, b"failed after the booking", "503 Service Unavailable"))
        else:
            writer.write(server.own_answer(fields))
        await writer.drain()
        return True

    server.respond = respond


async def keep_asking(number, node, record, until, answers):
    """A caller with a kept connection. After a promise it sends the payment once more, with an id of its own."""
    count, reader, writer = 0, None, None
    while time.monotonic() < until:
        payment, count = f"payment-{number}-{count}", count + 1
        for attempt in (1, 2):
            identity = f"{payment}-try{attempt}"
            try:
                if writer is None:
                    reader, writer = await node.connect()
                record.write(f"sent {identity}")
                writer.write(request("POST", "/pay/x", identity, body=payment.encode()))
                answer = await asyncio.wait_for(read_message(reader), 4)
                if answer is None:
                    raise ConnectionError("closed")
                answers[identity] = int(answer[0].split(" ")[1])
                record.write(f"answered {identity} {answers[identity]}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
                record.write(f"{identity} ended without an answer: {type(failure).__name__}")
                reader = writer = None
                break
            if answers[identity] not in PROMISES:
                break
            await asyncio.sleep(float(answer[1].get("retry-after", 0)))
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def main():
    record = Record("record.txt")
    store = Store()
    await store.start()
    await store.put("op", "config", manifest(7, [("host.example", "pay", "/pay/", "unsafe", "ledger")], ["ledger"],
                                             {"max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}))
    begin = time.monotonic() + 3600
    is_trouble = lambda: TROUBLE and begin + START_S <= time.monotonic() < begin + START_S + FOR_S
    servers = [Server(store, record, "ledger", f"ledger-{k}", "127.0.0.1", slots=6, work_s=0.03) for k in range(SERVERS)]
    for k, server in enumerate(servers):
        if k < FAULTY:
            make_faulty(server, is_trouble, record)
        await server.start()
    with tempfile.TemporaryDirectory() as folder:
        node = Node("127.0.15.1", store, folder=folder)
        try:
            node.start()
            if not await node.wait_ready():
                record.write("the process did not become ready")
                return 2
            begin = time.monotonic()
            answers = {}
            await asyncio.gather(*[keep_asking(k, node, record, begin + LENGTH_S, answers) for k in range(CALLERS)])
            run, payments = set(), {}
            for server in servers:
                for _, identity, _, _, body in server.runs:
                    run.add(identity)
                    payments[body] = payments.get(body, 0) + 1
            refused = [i for i, status in answers.items() if status in PROMISES and i in run]
            record.write(f"requests: {len(answers)} answered; answered with a promise (408, 421, 429, 503) though run: "
                         f"{len(refused)} (allowed: 0); payments that ran twice for it: "
                         f"{sum(count > 1 for count in payments.values())}")
            return 1 if refused else 0
        finally:
            node.end()


try:
    result = asyncio.run(main())
except Exception as failure:
    print(f"could not run: {failure!r}")
    result = 2
print(f"exit {result}")
sys.exit(result)
