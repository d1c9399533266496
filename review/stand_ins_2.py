"""Stand-ins for the scripts of the second review: the platform's store, backends, requesters, and the start of instances.

Everything listens on loopback addresses. Python's standard library only.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORT_NAMES = ("front", "ready", "control", "directory", "peers", "metrics")
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Of the platform's store.
PART_WRITES_PER_S, TRANSACTION_S, ANSWER_S = 150, 0.008, 0.004


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def say(self, text):
        self.note(text)
        print(f"{time.monotonic() - self.began:8.3f} {text}", flush=True)


class Stream:
    """A connection with a buffer, which can wait for the end of the connection without losing bytes."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.buffer = bytearray()
        self.ended = False

    async def fill(self):
        try:
            data = await self.reader.read(65536)
        except ConnectionError:
            data = b""
        self.buffer += data
        self.ended = self.ended or not data
        return bool(data)

    async def wait_for_end(self):
        while await self.fill():
            pass

    async def read_until(self, mark):
        while mark not in self.buffer:
            if not await self.fill():
                return None
        end = self.buffer.index(mark) + len(mark)
        data = bytes(self.buffer[:end])
        del self.buffer[:end]
        return data

    async def read_exactly(self, count):
        while len(self.buffer) < count:
            if not await self.fill():
                return None
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    async def read_body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = await self.read_until(b"\r\n")
                if line is None:
                    return None
                size = int(line.split(b";")[0], 16)
                chunk = await self.read_exactly(size + 2)
                if chunk is None:
                    return None
                body += chunk[:-2]
                if size == 0:
                    return body
        return await self.read_exactly(int(headers.get("content-length", 0)))

    async def read_message(self):
        """Returns the words of the start line, the headers with lower-case names and the body; None at the end."""
        head = await self.read_until(b"\r\n\r\n")
        if head is None:
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await self.read_body(headers)
        return None if body is None else (lines[0].split(" ", 2), headers, body)

    def send(self, start_line, headers, body=b""):
        fields = headers + [("Content-Length", str(len(body)))]
        head = start_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
        self.writer.write(head.encode("latin-1") + body)

    def close(self):
        self.writer.close()


async def listen(host, port, serve):
    async def run(reader, writer):
        stream = Stream(reader, writer)
        try:
            await serve(stream)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            stream.close()
    return await asyncio.start_server(run, host, port)


class Store:
    """The platform's store: rows with one version counter, feeds, raw objects; a call under a condition is atomic."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key): row
        self.removed = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.objects = {}
        self.writes = 0
        self.lose_write = lambda number: None  # Returns after how many seconds a write is done whose answer is lost.
        self.slowdown = 1  # How many times as long answers take.
        self.part_free_at = 0.0  # Transactions of a part are done one after another.
        self.began = time.monotonic()

    async def start(self, host):
        self.server = await listen(host, 0, self.serve)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def change(self, puts=(), removals=()):
        self.version += 1
        for row in puts:
            name = row["table"], row.get("part", ""), row["key"]
            self.rows[name] = dict(table=name[0], part=name[1], key=name[2], value=row["value"], ver=self.version)
            self.removed.pop(name, None)
        for row in removals:
            name = row["table"], row.get("part", ""), row["key"]
            if self.rows.pop(name, None):
                self.removed[name] = dict(table=name[0], part=name[1], key=name[2], removed=True, ver=self.version)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.change([dict(table=table, key=key, value=value)])

    async def remove(self, table, key):
        await self.change([], [dict(table=table, key=key)])

    def keys(self, table):
        return sorted(name[2] for name in self.rows if name[0] == table)

    def changes(self, table, after):
        found = [row for rows in (self.rows, self.removed) for name, row in rows.items()
                 if name[0] == table and row["ver"] > after]
        return sorted(found, key=lambda row: row["ver"])

    async def transact(self, call):
        for row in call.get("precondition", []):
            name = row["table"], row.get("part", ""), row["key"]
            if (self.rows[name]["ver"] if name in self.rows else 0) != row["ver"]:
                return 412, {"rows": [self.rows[name]] if name in self.rows else []}
        await self.change(call.get("puts", []), call.get("remove", []))
        return 200, {}

    async def answer(self, method, path, query, body):
        if path == "/pomelospread/rows-tx":
            now = time.monotonic()
            if self.part_free_at - now > 1:
                return 429, {}
            self.part_free_at = max(now, self.part_free_at) + self.slowdown / PART_WRITES_PER_S
            await asyncio.sleep(self.part_free_at - now + TRANSACTION_S * self.slowdown)
            return await self.transact(json.loads(body))
        if path == "/pomelospread/rows-get":
            rows = sorted((row for name, row in self.rows.items()
                           if name[0] == query["table"] and name[1] == query.get("part", "")
                           and name[2] >= query.get("from", "")), key=lambda row: row["key"].encode())
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "truncated": len(rows) > limit}
        if path == "/pomelospread/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while not self.changes(query["table"], after) and time.monotonic() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            return 200, {"rows": self.changes(query["table"], after)}
        if path.startswith("/pomelospread/blob-put/"):
            self.objects[path.rsplit("/", 1)[1]] = body
            return 200, {}
        if path == "/pomelospread/blob-list":
            return 200, {"names": sorted(self.objects), "truncated": False}
        return 404, {}

    async def serve(self, stream):
        while message := await stream.read_message():
            (method, target, _), _, body = message
            path, _, text = target.partition("?")
            query = dict(urllib.parse.parse_qsl(text))
            if method in ("POST", "PUT"):
                self.writes += 1
                self.record.note(f"store: write {self.writes} {path} {body[:200]!r}")
                late = self.lose_write(self.writes)
                if late is not None:
                    # The call is done late, and nothing more is answered on this connection.
                    self.record.say(f"store: the answer of write {self.writes} is lost; it is done {late} s later")
                    await asyncio.sleep(late)
                    await self.answer(method, path, query, body)
                    self.record.say(f"store: write {self.writes} is done; members now {self.keys('members')}")
                    await stream.wait_for_end()
                    return
            await asyncio.sleep(ANSWER_S * self.slowdown)
            status, document = await self.answer(method, path, query, body)
            document |= {"ver": self.version, "now_s": time.monotonic() - self.began}
            stream.send(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], json.dumps(document).encode())
            await stream.writer.drain()


class Backend:
    """Runs `slots` requests at a time, queues a few more and rejects the rest; writes its entry into the store."""

    def __init__(self, record, store, identity, service, zone, slots=2, queue=8, work_s=0.02):
        self.record, self.store = record, store
        self.identity, self.service, self.zone = identity, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.runs = []  # (time, request id, path, body)
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def start(self, host):
        self.server = await listen(host, 0, self.serve)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        await self.write_entry()
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            await self.write_entry()

    async def write_entry(self, state="ready"):
        self.sequence += 1
        await self.store.put("servers", self.identity, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "warmup_left_s": 0, "seq": self.sequence, "born": self.born})

    def load(self):
        return ("Backend-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def wait_for_slot(self):
        """Returns False when the backend is full."""
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
        self.running += 1
        return True

    async def release_slot(self):
        self.running -= 1
        async with self.free:
            self.free.notify()

    def answer_health(self, stream):
        stream.send("HTTP/1.1 200 OK", [("Instance-Id", self.identity), self.load()])

    def reject(self, stream):
        stream.send("HTTP/1.1 503 Service Unavailable", [("Not-Executed", "1"), self.load()])

    async def serve(self, stream):
        while message := await stream.read_message():
            (method, target, _), headers, body = message
            if target == "/health":
                self.answer_health(stream)
            elif headers.get("expect-instance", self.identity) != self.identity:
                stream.send("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.identity)])
            elif "request-id" not in headers:
                stream.send("HTTP/1.1 400 Bad Request", [("Not-Executed", "1")])
            elif not await self.run(stream, method, target, headers, body):
                return
            await stream.writer.drain()

    async def run(self, stream, method, target, headers, body):
        """Returns False when the connection has ended; a request is dropped when its connection closes."""
        request_id = headers["request-id"]
        if not await self.wait_for_slot():
            self.record.note(f"{self.identity}: rejects {request_id}")
            self.reject(stream)
            return True
        self.runs.append((time.monotonic(), request_id, target, body))
        self.record.note(f"{self.identity}: runs {request_id} {method} {target} {len(body)} bytes")
        end = asyncio.create_task(stream.wait_for_end())
        await asyncio.wait([end], timeout=self.work_s)
        dropped = end.done()
        end.cancel()
        await asyncio.gather(end, return_exceptions=True)
        await self.release_slot()
        if dropped:
            self.record.note(f"{self.identity}: drops {request_id}, its connection closed")
            return False
        answer = f"{self.identity} {request_id}".encode()
        stream.send("HTTP/1.1 200 OK", [("Request-Id", request_id), ("Server-Signature", f"s.{self.identity}"),
                                        self.load()], answer)
        return True


def manifest(version, routes, services, tenants=None, limits=None):
    document = {"version": f"r{version}",
                "services": [{"name": name, "health_path": "/health", "max_conns": 260, "protocol": "h1", "tls": False}
                             for name in services],
                "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                                     "idle_timeout_s": 15},
                "hosts": [{"host": "a.example", "paths": routes}]}
    return document | ({"tenants": tenants} if tenants is not None else {})


def route(name, kind, service, timeout_s=1.2, max_attempts=2):
    return {"name": name, "prefix": f"/{name}/", "kind": kind, "timeout_s": timeout_s, "target_latency_s": 0.25,
            "priority": 1, "service": service, "max_attempts": max_attempts}


class Fleet:
    """Instances, each on its own loopback address, with the command of the deploy file and settings like the template's."""

    def __init__(self, record, store, bounds, network=None):
        self.record, self.store, self.bounds = record, store, bounds
        self.network = network or f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        self.folder = tempfile.TemporaryDirectory()
        self.ports = self.free_ports()
        self.processes = {}
        self.hosts = []

    def free_ports(self):
        while True:
            first = random.randint(20000, 29000)
            ports = {name: first + i for i, name in enumerate(PORT_NAMES)}
            try:
                for port in ports.values():
                    socket.create_server((f"{self.network}.1", port)).close()
                return ports
            except OSError:
                continue

    def host(self, number):
        return f"{self.network}.{number}"

    async def start(self, number, zone, seeds=(1, 2), first_start=False):
        host, ports = self.host(number), self.ports
        settings = {"callers": f"{host}:{ports['front']}", "readiness": f"{host}:{ports['ready']}",
                    "addresses": f"{host}:{ports['directory']}", "peers": f"{host}:{ports['peers']}",
                    "metrics": f"{host}:{ports['metrics']}", "store": self.store.address, "own_zone": zone,
                    "seeds": ",".join(f"{self.host(each)}:{ports['control']}" for each in seeds),
                    "stop_grace_s": self.bounds["grace_s"], "extra_share": self.bounds["retry_budget_ratio"],
                    "extra_slack": self.bounds["budget_slack"], "checks_per_s": self.bounds["probes_per_s"],
                    "processors": self.bounds.get("cpu_share", 0.2), "first_start": "true" if first_start else "false"}
        path = pathlib.Path(self.folder.name) / f"{host}-{time.monotonic_ns()}.settings"
        path.write_text("".join(f"--{name}={value}\n" for name, value in settings.items()))
        words = [str(ROOT / "target/Programs/pomelospread"), "forward"]
        words += [f"--{flag}={self.bounds[bound]}" for flag, bound in (("workspace_slack", "quota_slack"),
                                                                       ("cold_slack", "cold_slack"))
                  if bound in self.bounds]
        log = open(path.with_suffix(".log"), "wb")
        environment = {"PATH": os.environ.get("PATH", ""), "POMELOSPREAD_SETTINGS": str(path)}
        self.processes[number] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.say(f"instance {number} ({host}) in {zone} starts, process {self.processes[number].pid}")
        return path.with_suffix(".log")

    async def is_ready(self, number):
        try:
            answer = await exchange(self.host(number), self.ports["ready"], "GET", "/pomelospread/ready", [], timeout_s=1)
        except OSError:
            return False
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self, *numbers, limit_s=15):
        until = time.monotonic() + limit_s
        for number in numbers:
            while not await self.is_ready(number):
                if time.monotonic() > until:
                    raise RuntimeError(f"instance {number} is not ready")
                await asyncio.sleep(0.05)
            self.record.say(f"instance {number} is ready")

    async def directory(self, number, zone):
        answer = await exchange(self.host(number), self.ports["directory"], "GET",
                                f"/pomelospread/resolve?name=a.example&region=r&zone={zone}", [])
        return json.loads(answer[2]).get("addresses") if answer and answer[0] == 200 else None

    async def terminate(self, number):
        """SIGTERM, and SIGKILL after the grace period."""
        self.record.say(f"instance {number}: SIGTERM")
        process = self.processes[number]
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), self.bounds["grace_s"])
            self.record.say(f"instance {number} has ended with {process.returncode}")
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
            self.record.say(f"instance {number} was killed after its grace period")

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.folder.cleanup()


async def exchange(host, port, method, target, headers, body=b"", timeout_s=5):
    """One request on its own connection. Returns status, headers and body; None when the connection ended before."""
    reader, writer = await asyncio.open_connection(host, port)
    stream = Stream(reader, writer)
    try:
        stream.send(f"{method} {target} HTTP/1.1", [("Host", "a.example")] + headers, body)
        message = await asyncio.wait_for(stream.read_message(), timeout_s)
    except (asyncio.TimeoutError, ConnectionError):
        return None
    finally:
        stream.close()
    return (int(message[0][1]), message[1], message[2]) if message else None


def run_case(folder, case):
    """Runs `case(record, store, fleets)`; ends every process that it started; exits with the case's result."""
    record = Record(folder)

    async def run():
        store = Store(record)
        await store.start("127.0.0.1")
        fleets = []
        try:
            return await case(record, store, fleets)
        finally:
            for fleet in fleets:
                await fleet.end()

    try:
        result = asyncio.run(run())
    except Exception as failure:  # Whatever keeps the case from running is no result.
        record.say(f"the case could not run: {failure!r}")
        result = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    record.file.close()
    raise SystemExit(result)
