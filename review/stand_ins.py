"""Stand-ins for the platform's store, backends and requesters, and a runner of the program's processes.

They follow PROTOCOL.md and DEPLOY.md. All of them run in the process of the script that uses them; the
program's processes are started with the command of deploy/system.toml and settings that are filled in from
platform/settings.template. Python's standard library only.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "Programs" / "pomelospread"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.4f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    return first, {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_message(first, headers, body):
    lines = [first] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_answer(status, headers, body):
    return make_message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


class Store:
    """The platform's store: rows with conditional transactions, their feed, and raw objects."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.blobs = {}
        self.version = 0
        self.changed = asyncio.Event()

    async def start(self, doors=1):
        """Listens at one address for each machine, so that the calls of each can be told apart."""
        self.addresses = []
        for door in range(doors):
            server = await asyncio.start_server(lambda r, w, door=door: self.serve(r, w, door), "127.0.0.1", 0)
            self.addresses.append("127.0.0.1:%d" % server.sockets[0].getsockname()[1])
        self.is_down = False    # refuses each call with 503
        self.is_silent = False  # a call that arrives meanwhile is never answered
        self.last_list_reader = None

    def write(self, table, key, value, counts=True):
        """Writes or (with None) removes a row; a heartbeat that changes only its count is no change."""
        data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        if counts:
            self.version += 1
        self.store_row((table, "", key), data, counts)

    def store_row(self, name, data, counts=True):
        if data is None:
            self.rows.pop(name, None)
        else:
            version = self.version if counts or name not in self.rows else self.rows[name][1]
            self.rows[name] = (data, version)
        if counts:
            self.log.append((self.version, name, data))
            self.changed.set()
            self.changed = asyncio.Event()

    @staticmethod
    def row(name, data, version):
        return {"table": name[0], "part": name[1], "key": name[2], "value": data, "ver": version}

    def envelope(self, **fields):
        return 200, dict(fields, ver=self.version, now_s=time.monotonic())

    async def feed(self, query):
        after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
        end = time.monotonic() + wait
        while True:
            newest = {}
            for version, name, data in self.log:
                if version > after and name[0] == query["table"]:
                    newest[name] = (version, data)
            left = end - time.monotonic()
            if newest or left <= 0:
                rows = [self.row(name, data or "", version) | ({} if data is not None else {"removed": True})
                        for name, (version, data) in newest.items()]
                return self.envelope(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for entry in body.get("precondition", []):
            name = (entry["table"], entry["part"], entry["key"])
            if self.rows.get(name, (None, 0))[1] != entry["ver"]:
                return 412, {"rows": [], "ver": self.version, "now_s": time.monotonic()}
        self.version += 1
        for entry in body.get("puts", []):
            self.store_row((entry["table"], entry["part"], entry["key"]), entry["value"])
        for entry in body.get("remove", []):
            self.store_row((entry["table"], entry["part"], entry["key"]), None)
        return self.envelope()

    async def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        call = parts.path.removeprefix("/pomelospread/")
        if call == "rows-get":
            names = sorted(name for name in self.rows
                           if name[0] == query["table"] and name[2] >= query.get("from", ""))
            limit = int(query.get("limit", "500"))
            rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
            return self.envelope(rows=rows, truncated=len(names) > limit)
        if call == "rows-feed":
            return await self.feed(query)
        if call == "rows-tx":
            return self.transact(json.loads(body))
        if call.startswith("blob-put/"):
            self.blobs[call[9:]] = body
            return self.envelope()
        if call == "blob-list":
            names = sorted(n for n in self.blobs
                           if n.startswith(query.get("prefix", "")) and n > query.get("after", ""))
            return self.envelope(names=names[:1000], truncated=len(names) > 1000)
        return 404, {}

    async def serve(self, reader, writer, door):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                if self.is_silent:
                    await reader.read()
                    return
                if self.is_down:
                    status, answer = 503, {}
                else:
                    if target.startswith("/pomelospread/rows-get?table=servers"):
                        self.last_list_reader = door
                    status, answer = await self.answer(method, target, body)
                writer.write(make_answer(status, [("Content-Type", "application/json")],
                                         json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Backend:
    """A sound backend: registers itself, runs requests in its slots, drops one when its connection closes."""

    def __init__(self, store, record, name, service, zone, slots=6, work_s=0.1):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.running = 0
        self.runs = []
        self.sources = []
        self.sequence = 0
        self.listed = False
        self.removed_at = None
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.listed = True
        self.heartbeats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while self.listed:
            self.sequence += 1
            self.store.write("servers", self.name,
                             {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                              "slots": self.slots, "state": "ready", "warmup_left_s": 0, "seq": self.sequence,
                              "born": self.born}, counts=self.sequence == 1)
            await asyncio.sleep(1.5)

    def remove_entry(self):
        self.listed = False
        self.heartbeats.cancel()
        self.store.write("servers", self.name, None)
        self.removed_at = self.record.now()
        self.record.write(f"the store confirms that the entry of {self.name} is removed")

    async def stop(self):
        self.server.close()
        self.heartbeats.cancel()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                load = ("Backend-Load", f"{self.running},0,{self.slots},100")
                identity = [("Request-Id", headers["request-id"])] if "request-id" in headers else []
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(make_answer(421, identity + [("Instance-Id", self.name)], b""))
                elif target == "/health":
                    writer.write(make_answer(200 if self.listed else 503,
                                             [("Instance-Id", self.name), load], b""))
                elif self.running >= self.slots:
                    writer.write(make_answer(503, identity + [("Not-Executed", "1"), load], b""))
                else:
                    await self.run(method, target, headers, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, method, target, headers, body, reader, writer):
        request = headers.get("request-id", "")
        self.running += 1
        self.runs.append((self.record.now(), request))
        self.record.write(f"{self.name} runs {method} {target} request {request}, "
                          f"Deadline-Ms {headers.get('deadline-ms')}")
        self.sources.append(writer.get_extra_info("peername")[0])
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if reader.at_eof():
            self.record.write(f"{self.name} has run request {request}, and its connection is closed")
            raise ConnectionError
        self.record.write(f"{self.name} answers request {request}")
        answer = json.dumps({"request": request}).encode()
        writer.write(make_answer(200, [("Request-Id", request), ("Server-Signature", "sig." + self.name),
                                       ("Backend-Load", f"{self.running},0,{self.slots},100")], answer))


def manifest(hosts, services, version="r1"):
    return {"version": version,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 5,
                       "idle_timeout_s": 20},
            "services": [{"name": name, "max_conns": 260, "slots": 6, "health_path": "/health"}
                         for name in services],
            "hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()]}


def route(name, prefix, kind, service, timeout_s, target_s=0.5, attempts=2):
    return {"name": name, "prefix": prefix, "kind": kind, "service": service, "timeout_s": timeout_s,
            "target_latency_s": target_s, "priority": 1, "max_attempts": attempts}


def render(template, fields):
    def value(match):
        current = fields
        for part in match.group(1).split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        if isinstance(current, bool):
            return "true" if current else "false"
        return ",".join(map(str, current)) if isinstance(current, list) else str(current)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


def free_ports(addresses, count):
    """Finds ports that are free on each of the addresses."""
    found = []
    for port in range(21000 + os.getpid() % 7000, 60000):
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            found.append(port)
        except OSError:
            continue
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


class Fleet:
    """Processes of the program, started with the run line of the deploy file, each at its own address."""

    def __init__(self, store, count, zones, bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.addresses = [f"127.0.{40 + os.getpid() % 200}.{i + 1}" for i in range(count)]
        self.front, self.ready, self.control, self.directory, self.inner, self.metrics = \
            free_ports(self.addresses, 6)
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        template = (ROOT / "platform" / "settings.template").read_text()
        self.settings = []
        for i, address in enumerate(self.addresses):
            fields = {"ip": address, "zone": zones[i % len(zones)], "bootstrap": True,
                      "listen": {"front": f"{address}:{self.front}", "ready": f"{address}:{self.ready}",
                                 "control": f"{address}:{self.control}",
                                 "directory": f"{address}:{self.directory}"},
                      "internal_ports": [self.inner, self.metrics], "platform": {"addr": store.addresses[i % len(store.addresses)]},
                      "seeds": [f"{a}:{self.control}" for a in self.addresses[:3]],
                      "limits": {"cpu_share": 0.2},
                      "bounds": dict({"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 56,
                                      "probes_per_s": 60}, **(bounds or {}))}
            path = self.folder / f"node-{i + 1}.conf"
            path.write_text(render(template, fields))
            self.settings.append(path)
        self.processes = [None] * count

    def start(self, index):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), "LANG": "C",
                       "POMELOSPREAD_SETTINGS": str(self.settings[index])}
        log = open(self.folder / f"node-{index + 1}.log", "ab")
        self.processes[index] = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def wait_ready(self, index, within=20.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.addresses[index], self.ready)
                writer.write(b"GET /pomelospread/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("a process of the program did not become ready")

    async def resolve(self, index, host, zone):
        reader, writer = await asyncio.open_connection(self.addresses[index], self.directory)
        writer.write(f"GET /pomelospread/resolve?name={host}&region=r&zone={zone} HTTP/1.1\r\n"
                     f"Host: directory\r\n\r\n".encode())
        _, headers = await read_head(reader)
        answer = json.loads(await read_body(reader, headers))
        writer.close()
        return answer

    def kill_all(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS", "0") == "0":
            shutil.rmtree(self.folder, ignore_errors=True)


class Requester:
    """One connection to a front address; sends one request at a time and reads its answer."""

    def __init__(self, record):
        self.record = record

    async def open(self, address, port):
        self.reader, self.writer = await asyncio.open_connection(address, port)
        self.where = f"{address}:{port}"

    async def send(self, method, path, host, request, deadline_ms, body=b""):
        self.record.write(f"a requester sends {method} {path} request {request} to {self.where}")
        self.writer.write(make_message(f"{method} {path} HTTP/1.1",
                                       [("Host", host), ("Request-Id", request),
                                        ("Deadline-Ms", str(deadline_ms))], body))

    async def receive(self, within):
        """Returns (status, headers, body), or None when the connection ends without a whole answer."""
        try:
            first, headers = await asyncio.wait_for(read_head(self.reader), within)
            body = await asyncio.wait_for(read_body(self.reader, headers), within)
            status = int(first.split(" ")[1])
            self.record.write(f"a requester gets {status} for request {headers.get('request-id')}, "
                              f"Connection: {headers.get('connection', '-')}")
            return status, headers, body
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.write("a requester's connection has ended without an answer")
            return None
        except asyncio.TimeoutError:
            self.record.write("a requester got no answer within its time")
            return "timeout"


class Traffic:
    """Requesters that send safe requests to the given front addresses, each on connections of its own."""

    def __init__(self, record, host, path, per_s, deadline_ms=2000):
        self.record, self.host, self.path, self.per_s, self.deadline_ms = record, host, path, per_s, deadline_ms
        self.count, self.answers, self.stopping = 0, {}, False

    async def run(self, addresses, port):
        await asyncio.gather(*(self.requester(address, port, each)
                               for address in addresses for each in range(8)))

    async def requester(self, address, port, each):
        connection = None
        period = 8 / self.per_s
        await asyncio.sleep(period * each / 8)
        while not self.stopping:
            started = time.monotonic()
            self.count += 1
            name = f"lookup{self.count:010d}"
            try:
                if connection is None:
                    connection = Requester(self.record)
                    await connection.open(address, port)
                await connection.send("GET", self.path, self.host, name, self.deadline_ms)
                answer = await connection.receive(self.deadline_ms / 1000 + 1)
            except OSError:
                answer = None
            status = answer if answer in (None, "timeout") else answer[0]
            self.answers[status] = self.answers.get(status, 0) + 1
            if status in (None, "timeout") or answer[1].get("connection", "").lower() == "close":
                connection = None
            await asyncio.sleep(max(0, period - (time.monotonic() - started)))


def drain_breaks(record, backends, drain_s):
    """The requests that reached a backend later than drain_s after the store had confirmed its leaving."""
    breaks = 0
    for backend in backends:
        for at, request in backend.runs:
            if backend.removed_at is not None and at - backend.removed_at > drain_s:
                breaks += 1
                record.write(f"DRAIN: request {request} reached {backend.name} {at - backend.removed_at:.3f} s after "
                             "its leaving was confirmed")
    return breaks


def main_of(scenario):
    """Runs a scenario and exits with its result; 2 if it could not run."""

    async def run():
        task = asyncio.ensure_future(scenario())
        for each in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(each, task.cancel)
        return await asyncio.wait_for(task, 115)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as failure:
        print(f"could not run: {failure!r}")
        code = 2
    os._exit(code)
