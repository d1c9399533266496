"""Stand-ins for the scripts of the third review: the platform's store, servers, callers, and the start of the
project's own processes. Everything listens on loopback addresses."""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

# So that a case that is stopped still ends the processes that it started.
signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(SystemExit(2)))

REPOSITORY = Path(__file__).resolve().parent.parent
PROGRAM = REPOSITORY / "target/Programs/pomelospread"
BOUNDS = {"drain_s": 2, "grace_s": 6, "config_apply_s": 2, "loss_slack_s": 0.2, "heartbeat_s": 1.5,
          "retry_budget_ratio": 0.2, "budget_slack": 62, "probes_per_s": 60}


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the fields in lower case and the body, or None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readline()
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def message(first_line, fields, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin1") + body


class Store:
    """The platform's metadata store. `fault` may return the name of a fault for a call."""

    def __init__(self, address="127.0.0.1"):
        self.address, self.port = address, free_port(address)
        self.rows, self.version, self.history = {}, 0, []
        self.blobs = {}
        self.changed = asyncio.Condition()
        self.fault = lambda method, path, peer, query: None
        self.latency_s = 0.004
        self.on_call = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def put(self, table, key, value):
        self.version += 1
        text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.version)
        self.history.append((self.version, (table, "", key), text))
        await self.notify()

    async def remove(self, table, key):
        self.version += 1
        self.rows.pop((table, "", key), None)
        self.history.append((self.version, (table, "", key), None))
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def row(name, text, version):
        return {"table": name[0], "part": name[1], "key": name[2], "value": text, "ver": version}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, fields, body = request
                method, target, _ = line.split(" ")
                path, _, query_text = target.partition("?")
                query = {}
                for part in query_text.split("&"):
                    name, _, value = part.partition("=")
                    query[name] = bytes(value, "latin1").decode() if "%" not in value else __import__(
                        "urllib.parse").parse.unquote(value)
                if self.on_call:
                    self.on_call(method, path, peer, query)
                fault = self.fault(method, path, peer, query)
                await asyncio.sleep(self.latency_s)
                if fault == "busy":
                    writer.write(message("HTTP/1.1 503 Service Unavailable", {}))
                    continue
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "silent":
                    await asyncio.sleep(3600)
                status, content = await self.answer(method, path, query, body, peer)
                if fault == "lost":
                    await asyncio.sleep(3600)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                     content if isinstance(content, bytes) else json.dumps(content).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body, peer):
        call = path.removeprefix("/pomelospread/")
        if call == "rows-get":
            names = sorted(n for n in self.rows if n[0] == query["table"] and n[1] == query.get("part", "")
                           and n[2] >= query.get("from", "") and ("target" not in query or n[2] < query["target"]))
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": [self.row(n, *self.rows[n]) for n in names[:limit]],
                         "truncated": len(names) > limit, "ver": self.version, "now_s": time.monotonic()}
        if call == "rows-feed":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                newest = {}
                for version, name, text in self.history:
                    if version > after and name[0] == query["table"]:
                        newest[name] = (version, text)
                left = until - time.monotonic()
                if newest or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            rows = [self.row(n, t, v) if t is not None else
                    {"table": n[0], "part": n[1], "key": n[2], "ver": v, "removed": True}
                    for n, (v, t) in sorted(newest.items(), key=lambda each: each[1][0])]
            return 200, {"rows": rows, "ver": self.version, "now_s": time.monotonic()}
        if call == "rows-tx":
            document = json.loads(body)
            name_of = lambda r: (r["table"], r["part"], r["key"])
            for entry in document["precondition"]:
                if self.rows.get(name_of(entry), ("", 0))[1] != entry["ver"]:
                    return 412, {"rows": [self.row(name_of(e), *self.rows[name_of(e)])
                                          for e in document["precondition"] if name_of(e) in self.rows],
                                 "ver": self.version, "now_s": time.monotonic()}
            self.version += 1
            for entry in document["puts"]:
                self.rows[name_of(entry)] = (entry["value"], self.version)
                self.history.append((self.version, name_of(entry), entry["value"]))
            for entry in document["remove"]:
                self.rows.pop(name_of(entry), None)
                self.history.append((self.version, name_of(entry), None))
            await self.notify()
            return 200, {"ver": self.version, "now_s": time.monotonic()}
        if call.startswith("blob-put/"):
            self.blobs[call] = body
            return 200, {}
        if call == "blob-list":
            return 200, {"names": [], "truncated": False}
        return 404, {}


class Server:
    """A server of a service. `respond` may be replaced to answer otherwise."""

    def __init__(self, store, record, service, name, address, zone="zone-a", slots=8, work_s=0.02, port=None,
                 max_conns=260):
        self.store, self.record, self.service, self.name = store, record, service, name
        self.address, self.port = address, port or free_port(address)
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.state, self.sequence, self.born = "ready", 1, int(time.time() * 1000)
        self.runs = []  # Of (time, request id, first line, fields, body).
        self.is_up = True
        self.running = 0
        self.respond = self.respond_well
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.address, self.port)
        await self.write_entry()
        self.heart = asyncio.create_task(self.beat())

    def entry(self):
        return {"service": self.service, "addr": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "1.0", "slots": self.slots, "state": self.state, "warmup_left_s": 0,
                "seq": self.sequence, "born": self.born}

    async def write_entry(self):
        self.sequence += 1
        await self.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(BOUNDS["heartbeat_s"])
            if self.state != "gone":
                await self.write_entry()

    async def drain(self):
        self.state = "draining"
        await self.write_entry()
        self.record.write(f"store: {self.name} is draining")

    async def leave(self):
        self.state = "gone"
        await self.store.remove("servers", self.name)
        self.record.write(f"store: {self.name} is removed")

    def crash(self):
        self.listener.close()
        self.heart.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, fields, body = request
                if line.startswith("GET /health"):
                    ok = self.state == "ready"
                    writer.write(message("HTTP/1.1 200 OK" if ok else "HTTP/1.1 503 Draining",
                                         {"Instance-Id": self.name, "Backend-Load": self.load()}))
                    await writer.drain()
                    continue
                identity = fields.get("request-id", "")
                if not identity:
                    writer.write(message("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"}))
                    continue
                if fields.get("expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         {"Instance-Id": self.name, "Request-Id": identity}))
                    continue
                self.runs.append((time.monotonic(), identity, line, fields, body))
                self.record.write(f"run {self.name} {identity} {line}")
                self.running += 1
                try:
                    if not await self.respond(reader, writer, line, fields, body):
                        break
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def own_answer(self, fields, body=b"the server's bytes", status="200 OK", more=None):
        identity = fields["request-id"]
        return message(f"HTTP/1.1 {status}", {"Request-Id": identity, "Server-Signature": f"sig.{self.name}.{identity}",
                                              "Backend-Load": self.load(), **(more or {})}, body)

    async def respond_well(self, reader, writer, line, fields, body):
        await asyncio.sleep(self.work_s)
        writer.write(self.own_answer(fields))
        await writer.drain()
        return True


def manifest(version, routes, services, limits=None, more=None):
    """`routes`: of (host, name, prefix, kind, service or split, and changes of the defaults)."""
    hosts = {}
    for host, name, prefix, kind, target, *changes in routes:
        path = {"name": name, "prefix": prefix, "kind": kind, "timeout_s": 3.0, "target_latency_s": 0.3,
                "priority": 1, "max_attempts": 2}
        path.update({"split": target} if isinstance(target, list) else {"service": target})
        path.update(changes[0] if changes else {})
        hosts.setdefault(host, []).append(path)
    return {"version": f"r{version}",
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 5.0,
                       "idle_timeout_s": 30.0, **(limits or {})},
            "services": [{"name": name, "max_conns": 260, "health_path": "/health"} for name in services],
            "hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()], **(more or {})}


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, address, store, zone="zone-a", seeds=(), bootstrap=True, folder=None, ports=None, more=""):
        self.address, self.store, self.zone = address, store, zone
        self.folder = folder
        ports = ports or {name: free_port(address) for name in ("front", "ready", "directory", "peers", "metrics")}
        self.ports, self.seeds, self.bootstrap, self.more = ports, list(seeds), bootstrap, more
        self.process = None

    def settings(self):
        a, p = self.address, self.ports
        return f"""--callers={a}:{p['front']}
--readiness={a}:{p['ready']}
--addresses={a}:{p['directory']}
--peers={a}:{p['peers']}
--metrics={a}:{p['metrics']}
--store={self.store.address}:{self.store.port}
--own_zone={self.zone}
--seeds={','.join(f'{s}:8382' for s in self.seeds)}
--stop_grace_s={BOUNDS['grace_s']}
--extra_share={BOUNDS['retry_budget_ratio']}
--extra_slack={BOUNDS['budget_slack']}
--checks_per_s={BOUNDS['probes_per_s']}
--processors=0.2
--first_start={'true' if self.bootstrap else 'false'}
{self.more}"""

    def start(self):
        path = Path(self.folder) / f"{self.address}.settings"
        path.write_text(self.settings())
        self.log = open(Path(self.folder) / f"{self.address}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "forward"], cwd=REPOSITORY, stdout=self.log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C", "POMELOSPREAD_SETTINGS": str(path)})

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports["ready"])
            writer.write(b"GET /pomelospread/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and " 200 " in answer[0] + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def connect(self):
        return await asyncio.open_connection(self.address, self.ports["front"])


def request(method, path, identity, host="host.example", deadline_ms=2000, body=b"", more=None):
    fields = {"Host": host, "Request-Id": identity, "Deadline-Ms": str(deadline_ms), **(more or {})}
    return message(f"{method} {path} HTTP/1.1", fields, body)


async def ask(node, data, record, identity, limit_s=4):
    """Sends one request on a new connection. Returns (status, fields, body), or None without an answer."""
    try:
        reader, writer = await asyncio.wait_for(node.connect(), 1)
    except (OSError, asyncio.TimeoutError):
        record.write(f"{identity} no connection")
        return None
    record.write(f"sent {identity}")
    try:
        writer.write(data)
        answer = await asyncio.wait_for(read_message(reader), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
        record.write(f"{identity} no answer: {type(failure).__name__}")
        return None
    finally:
        writer.close()
    if answer is None:
        record.write(f"{identity} closed without an answer")
        return None
    status = int(answer[0].split(" ")[1])
    record.write(f"answered {identity} {status} {answer[2][:60]!r}")
    return status, answer[1], answer[2]
