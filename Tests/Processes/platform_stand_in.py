"""Stand-ins for the platform in the process tests: its store, targets with faults, and a forwarding instance."""
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ.get("POMELOSPREAD_BUILD", pathlib.Path(__file__).resolve().parents[2] / "build"))
START_TIMEOUT_S = 20


def read_http_message(stream):
    """Returns the words of the start line, the headers with lower-case names and the body, or None at end of stream."""
    start_line = stream.readline()
    if not start_line:
        return None
    headers = {}
    while True:
        line = stream.readline().strip()
        if not line:
            break
        name, _, value = line.partition(b":")
        headers[name.decode().lower()] = value.strip().decode()
    body = stream.read(int(headers.get("content-length", 0)))
    return start_line.decode().split(), headers, body


class TcpServer:
    """Accepts connections on loopback and serves each in a thread."""

    def __init__(self, address="127.0.0.1"):
        self.listener = socket.create_server((address, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_until_closed, args=(connection,), daemon=True).start()

    def serve_until_closed(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                self.serve(connection, stream)
        except OSError:
            pass  # Tests close connections on purpose.

    def close(self):
        self.listener.close()


class PlatformStore(TcpServer):
    """Rows with one version counter. Implements the parts of the platform's store for table scans and change feeds."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.removed_rows = {}  # The last removal of each row, for feeds.
        self.version = 0
        self.down = False
        self.field_overrides = {}  # Fields with values of a wrong type, added to every response and row.
        self.dropped_response_path = ""  # Requests whose target contains this are executed, but the response is lost.
        self.late_removals_s = 0  # While it is set, removals are not answered and performed so long after their arrival.
        self.unanswered_path = None  # Requests whose target contains this are neither executed nor answered.
        self.connections = set()
        self.silent_connections = set()  # Nothing more is answered on these.
        self.response_delay_s = 0  # Added to the time of every response.
        self.transaction_s = 0  # Of each transaction; they are done one after another.
        self.transactions_end = 0.0
        self.oldest_feed_version = 0  # Feeds that start before this version are answered with 410.
        self.feed_calls = 0
        self.feed_checks = 0  # Feeds that do not wait.
        self.total_calls = 0
        self.tables_reads = 0  # Of the complete tables.
        self.members_reads = 0
        self.division_reads = 0
        self.max_page_rows = 500
        self.object_names = []  # Of the objects that were stored, in order.
        self.era = None  # Stated in every response, if set.
        self.holds_polls = False  # An outage leaves open feeds without a response.
        self.polls_generation = 0  # Feeds that were opened in an earlier one are cut.
        super().__init__()

    def put(self, table, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.put_encoded(table, key, base64.b64encode(raw).decode())

    def put_encoded(self, table, key, value):
        with self.lock:
            self.version += 1
            self.removed_rows.pop((table, key), None)
            self.rows[table, key] = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
            self.lock.notify_all()

    def remove(self, table, key):
        with self.lock:
            self.version += 1
            if self.rows.pop((table, key), None):
                self.removed_rows[table, key] = {"table": table, "part": "", "key": key, "removed": True,
                                                 "ver": self.version}
            self.lock.notify_all()

    def rows_of_table(self, table, after=0):
        return [row | self.field_overrides for (name, _), row in sorted(self.rows.items())
                if name == table and row["ver"] > after]

    def changes_of_table(self, table, after):
        removed = [row for (name, _), row in self.removed_rows.items() if name == table and row["ver"] > after]
        return sorted(self.rows_of_table(table, after) + removed, key=lambda row: row["ver"])

    def transact(self, call):
        """Does everything that the call asks for if its preconditions hold; call with the lock held."""
        names = [(row["table"], row["key"]) for row in call["precondition"]]
        if any(self.rows.get(name, {"ver": 0})["ver"] != row["ver"] for name, row in zip(names, call["precondition"])):
            return 412, {"rows": [self.rows[name] for name in names if name in self.rows], "ver": self.version,
                         "now_s": 1.0}
        for row in call["puts"]:
            self.put_encoded(row["table"], row["key"], row["value"])
        for row in call["remove"]:
            self.remove(row["table"], row["key"])
        return 200, {"ver": self.version, "now_s": 1.0}

    def handle_request(self, method, target, body):
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        with self.lock:
            self.total_calls += 1
            if self.down:
                return 503, {}
            if "/blob-put/" in path:
                self.object_names.append(path.rsplit("/", 1)[1])
            if path.endswith("rows-tx"):
                return self.transact(json.loads(body))
            if path.endswith("rows-feed"):
                self.feed_calls += 1
                self.feed_checks += parameters["wait_ms"] == "0"
                after = int(parameters["after"])
                if not self.oldest_feed_version <= after <= self.version:
                    return 410, {}
                era, generation = self.era, self.polls_generation
                # A feed that is neither cut nor answered after a restore stays open until its time-out.
                self.lock.wait_for(lambda: self.down and not self.holds_polls or self.polls_generation != generation or (
                    self.era == era and self.changes_of_table(parameters["table"], after)),
                                   int(parameters["wait_ms"]) / 1000)
                if self.polls_generation != generation:
                    return None, {}
                rows = self.changes_of_table(parameters["table"], after)
                return (503, {}) if self.down else (200, {"rows": rows, "ver": self.version, "now_s": 1.0})
            if path.endswith("rows-get"):
                self.tables_reads += parameters["table"] == "op"
                self.members_reads += parameters["table"] == "members"
                self.division_reads += parameters["table"] == "rates"
                rows = [row for row in self.rows_of_table(parameters["table"]) if row["key"] >= parameters.get("from", "")]
                return 200, {"rows": rows[:self.max_page_rows], "truncated": len(rows) > self.max_page_rows,
                             "ver": self.version, "now_s": 1.0} | self.field_overrides
            return 200, {}

    def serve(self, connection, stream):
        self.connections.add(connection)
        while message := read_http_message(stream):
            (method, target, _), _, body = message
            if self.unanswered_path is not None and self.unanswered_path in target:
                stream.read()
                return
            if self.late_removals_s and "rows-tx" in target and json.loads(body)["remove"]:
                threading.Timer(self.late_removals_s, self.handle_request, (method, target, body)).start()
                stream.read()
                return
            status, document = (429, {}) if not self.wait_for_transactions(target) else self.handle_request(
                method, target, body)
            if connection in self.silent_connections:
                stream.read()
                return
            if status is None or (self.dropped_response_path and self.dropped_response_path in target):
                return
            time.sleep(self.response_delay_s)
            text = json.dumps(document).encode()
            era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
            connection.sendall(f"HTTP/1.1 {status} X\r\n{era}Content-Length: {len(text)}\r\n\r\n".encode() + text)

    def wait_for_transactions(self, target):
        """Returns False if more than a second of transactions is waiting."""
        if "rows-tx" not in target:
            return True
        with self.lock:
            begin = max(time.monotonic(), self.transactions_end)
            if begin - time.monotonic() > 1:
                return False
            self.transactions_end = begin + self.transaction_s
        time.sleep(max(0, begin + self.transaction_s - time.monotonic()))
        return True

    def silence_open_connections(self):
        """Answers nothing more on the open connections; new ones work."""
        self.silent_connections |= self.connections

    def drop_history(self):
        """Discards the history: feeds from an earlier version are answered with 410."""
        with self.lock:
            self.version += 1
            self.oldest_feed_version = self.version

    def cut_polls(self):
        """Closes the connections of the open feeds without a response."""
        with self.lock:
            self.polls_generation += 1
            self.lock.notify_all()

    def copy_state(self):
        with self.lock:
            return self.rows.copy(), self.version

    def restore_state(self, state):
        with self.lock:
            rows, self.version = state
            self.rows = rows.copy()

    def start_outage(self):
        with self.lock:
            self.down = True
            self.lock.notify_all()

    def end_outage(self):
        with self.lock:
            self.down = False

    def take_copy(self):
        with self.lock:
            return dict(self.rows), self.version, len(self.object_names)

    def restore(self, copy, keeps_polls=False):
        """Comes back from an older copy, in a new era."""
        with self.lock:
            self.rows, self.version = dict(copy[0]), copy[1]
            del self.object_names[copy[2]:]
            self.era += 1
            self.polls_generation += not keeps_polls
            self.down = False
            self.lock.notify_all()


class StorePath(TcpServer):
    """The path of one instance to the store, which can be cut."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.connections = []
        super().__init__()

    def serve(self, connection, stream):
        self.connections.append(connection)
        if not self.is_cut:
            self.store.serve(connection, stream)

    def cut(self):
        self.is_cut = True
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It has ended.

    def heal(self):
        self.is_cut = False


class StoreView(TcpServer):
    """The platform's store as one instance sees it: without the rows for which `is_hidden` returns true."""

    def __init__(self, store, is_hidden):
        self.store = store
        self.is_hidden = is_hidden
        super().__init__()

    def serve(self, connection, stream):
        while message := read_http_message(stream):
            (method, target, _), _, body = message
            status, document = self.store.handle_request(method, target, body)
            if status is None:
                return
            if "rows" in document:
                document = document | {"rows": [row for row in document["rows"] if not self.is_hidden(row)]}
            text = json.dumps(document).encode()
            connection.sendall(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)


class TargetStandIn(TcpServer):
    """Executes requests. The last segment of the path selects the fault to inject, if faults are enabled."""

    failed_ids = set()  # Of the requests that some target answered with status 500, for the fault `failfirst`.

    def __init__(self, name, faults_enabled=True):
        self.name = name
        self.faults_enabled = faults_enabled
        self.executed_ids = []
        self.headers_by_id = {}  # Of the requests that arrived.
        self.arrivals = []
        self.health_check_times = []
        self.refusal_times = []
        self.cancelled_ids = []
        self.retry_after = None  # While it is set, everything is refused with this Retry-After.
        self.response_headers = ""  # Added to every response, also to those to health checks.
        super().__init__()

    def respond(self, connection, request_id, status="200 OK", extra_headers="", body=None):
        body = body or f"{self.name} {request_id}".encode()
        connection.sendall((f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Signature: s.{self.name}\r\n"
                            f"Backend-Load: 0,0,6,100\r\n{self.response_headers}{extra_headers}"
                            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    def serve(self, connection, stream):
        refusal_copy = b""
        while message := read_http_message(stream):
            (method, path, _), headers, body = message
            if path == "/health":
                self.health_check_times.append(time.monotonic())
                connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nBackend-Load: 0,0,6,100\r\n"
                                   f"{self.response_headers}Content-Length: 0\r\n\r\n".encode())
                continue
            connection.sendall(refusal_copy)
            refusal_copy = b""
            request_id = headers["request-id"]
            if self.retry_after:
                self.refusal_times.append(time.monotonic())
                self.respond(connection, request_id, "503 Full",
                             f"Not-Executed: 1\r\nRetry-After: {self.retry_after}\r\n")
                continue
            self.arrivals.append((request_id, time.monotonic()))
            self.headers_by_id[request_id] = headers
            if headers["expect-instance"] != self.name:
                connection.sendall(b"HTTP/1.1 421 M\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n")
                continue
            behaviour = path.rsplit("/", 1)[1] if self.faults_enabled else "plain"
            if behaviour == "shed":
                self.respond(connection, request_id, "503 Full", "Not-Executed: 1\r\n")
                continue
            if behaviour == "shedtwice":
                refusal_copy = (f"HTTP/1.1 503 Full\r\nInstance-Id: {self.name}\r\nBackend-Load: 6,2,6,100\r\n"
                                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode()
                connection.sendall(refusal_copy)
                continue
            self.executed_ids.append(request_id)
            if behaviour == "failfirst":
                if request_id not in TargetStandIn.failed_ids:
                    TargetStandIn.failed_ids.add(request_id)
                    self.respond(connection, request_id, "500 Failed")
                    continue
                behaviour = "slow3"
            if behaviour.startswith("unstated"):
                self.respond(connection, request_id, f"{behaviour[8:]} Failed afterwards", "Retry-After: 0\r\n")
                continue
            if behaviour == "die":
                return
            if behaviour == "cut":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n"
                                   "Content-Length: 1000\r\n\r\npart".encode())
                return
            if behaviour == "cuthead":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n".encode())
                return
            if behaviour == "endless":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n".encode())
                chunk = b"10000\r\n" + bytes(65536) + b"\r\n"
                until = time.monotonic() + 10
                while time.monotonic() < until:
                    connection.sendall(chunk)
                    time.sleep(0.004)  # Leaves processor time to the other stand-ins of this process.
                return
            if behaviour == "unmarked":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                                   "Content-Length: 2\r\n\r\nno".encode())
                continue
            if behaviour == "foreign":
                self.respond(connection, "another-request")
            if behaviour.startswith("slow"):
                connection.settimeout(float(behaviour[4:] or 1))
                try:
                    is_cancelled = not connection.recv(1, socket.MSG_PEEK)
                except TimeoutError:
                    is_cancelled = False
                except ConnectionResetError:
                    is_cancelled = True
                if is_cancelled:
                    self.cancelled_ids.append(request_id)
                    return
                connection.settimeout(None)
            if behaviour == "unframed":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n\r\n"
                                   "until the end".encode())
                return
            self.respond(connection, request_id, body=body if behaviour == "echo" else None)


def make_manifest(version, routes, pools):
    return {"version": f"r{version}",
            "services": [{"name": pool, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for pool in pools],
            "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_s": 1, "idle_timeout_s": 5},
            "hosts": [{"host": "a.example", "paths": routes}]}


def make_route(name, kind, service, timeout=2):
    return {"name": name, "prefix": f"/{name}/", "kind": kind, "timeout_s": timeout, "target_latency_s": 1.0,
            "priority": 1, "max_attempts": 2, "service": service}


def make_target_entry(target, service, state="ready", born=1700000000000, zone="z"):
    return {"service": service, "addr": target.address, "zone": zone, "version": "v1", "slots": 6, "state": state,
            "warmup_left_s": 0, "seq": 1, "born": born}


class ForwardingInstance:
    """A forwarding instance with its own loopback address."""

    def __init__(self, host, ports, store, folder, seeds="", settings=None):
        self.host = host
        self.ports = ports
        self.log_path = pathlib.Path(folder) / f"{host}-{time.monotonic_ns()}.log"
        flags = {name: f"{host}:{port}" for name, port in ports.items()}
        flags |= {"store": store.address, "own_zone": "z", "seeds": seeds, "stop_grace_s": 3} | (settings or {})
        settings_path = self.log_path.with_suffix(".settings")
        settings_path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        with open(self.log_path, "wb") as output:
            self.child = subprocess.Popen([BUILD / "Programs/pomelospread", "forward"], stdin=subprocess.DEVNULL,
                                          stdout=output, stderr=subprocess.STDOUT,
                                          env=os.environ | {"POMELOSPREAD_SETTINGS": str(settings_path)})

    def exchange(self, listener, request, timeout=5):
        with socket.create_connection((self.host, self.ports[listener]), timeout) as connection:
            connection.sendall(request)
            with connection.makefile("rb") as stream:
                return read_http_message(stream)

    def status(self):
        """What the instance says of itself, of the fleet and of the division of rates and bursts."""
        return json.loads(self.exchange("metrics", b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")[2])

    def send_request(self, path, request_id, method="GET", body=b"", deadline_ms=1500, headers=""):
        head = (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n{headers}"
                f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        start_line, response_headers, response_body = self.exchange("callers", head + body)
        return int(start_line[1]), response_headers, response_body

    def is_ready(self):
        try:
            start_line, _, _ = self.exchange("readiness", b"GET /pomelospread/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
        except OSError:
            return False
        return start_line[1] == "200"

    def wait_until_ready(self, timeout=START_TIMEOUT_S):
        deadline = time.monotonic() + timeout
        while not self.is_ready():
            assert time.monotonic() < deadline and self.child.poll() is None, self.log_path.read_text()[-2000:]
            time.sleep(0.05)

    def stop(self):
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(10)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(10)
