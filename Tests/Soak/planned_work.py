#!/usr/bin/env python3
"""Randomized soak of planned work: stops, reloads and changes of the tables follow each other and overlap while callers
keep their connections in use until the process is gone. Nothing fails, so no request may be lost: one that a target ran
gets its complete response. The seed fixes the sequence of random numbers, not their times."""
import argparse
import collections
import pathlib
import random
import signal
import socket
import sys
import threading
import time

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS / "Processes"), str(TESTS.parent / "Meta")]
import fleet as fleets  # noqa: E402
from platform_stand_in import (  # noqa: E402
    ForwardingInstance, PlatformStore, TargetStandIn, make_manifest, make_route, make_target_entry, read_http_message)
from seeded_runs import run_seeds  # noqa: E402

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
DEADLINE_MS = 1500
GRACE_S = 4  # Longer than the deadline, so that every accepted request can be completed.
ROUTES = [make_route(name, "safe" if name == "read" else "unsafe", "s", DEADLINE_MS / 1000)
          for name in ("read", "write")]
LOSS_SLACK_S = 0.2  # A request that was not sent to a target crossed the close unless it was sent this long before.


class BusyTarget(TargetStandIn):
    """Works for a random time and closes a part of its connections after the response."""

    def respond(self, connection, request_id, status="200 OK", extra_headers="", body=None):
        time.sleep(random.choice([0, 0.002, 0.01, 0.05, 0.2]))
        if random.random() < 0.05:
            extra_headers += "Connection: close\r\n"
        super().respond(connection, request_id, status, extra_headers, body)


class Request:
    def __init__(self, request_id, instance):
        self.id = request_id
        self.instance = instance
        self.sent_at = None  # When the last byte was sent.
        self.ended_at = None
        self.status = None
        self.is_behind_close = False  # An earlier response of the connection closes it.


class Caller:
    """Uses one connection after the other to one instance, each until it ends."""

    def __init__(self, soak, number, seed):
        self.soak = soak
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.requests = []

    def run(self):
        while self.soak.running:
            place = self.number % len(self.soak.instances)
            try:
                connection = socket.create_connection((self.soak.instances[place].host, self.soak.ports["callers"]), 1)
            except OSError:
                time.sleep(0.01)
                continue
            connection.settimeout(6)
            try:
                with connection, connection.makefile("rb") as stream:
                    while self.soak.running and self.send_group(connection, stream, place):
                        time.sleep(self.random.choice([0, 0, 0.001, 0.02]))
            except OSError:
                pass  # The requests without a response are checked at the end.

    def send_group(self, connection, stream, place):
        """Sends one request, or several before the first response. Returns whether the connection stays open."""
        is_pipelined = self.random.random() < 0.3
        group = []
        for _ in range(self.random.randint(2, 4) if is_pipelined else 1):
            request = Request(f"c{self.number}-{len(self.requests)}", place)
            self.requests.append(request)
            group.append(request)
        try:
            for index, request in enumerate(group):
                # Behind another request only idempotent ones are sent.
                route = "read" if index > 0 else self.random.choice(["read", "write"])
                self.send_request(connection, request, route)
            for index, request in enumerate(group):
                message = read_http_message(stream)
                if message is None:
                    return False
                request.status = int(message[0][1])
                if message[1].get("connection", "").lower() == "close":
                    for later in group[index + 1:]:
                        later.is_behind_close = True
                    return False
            return True
        finally:
            now = time.monotonic()
            for request in group:
                request.ended_at = now

    def send_request(self, connection, request, route):
        body = b"x" * self.random.choice([0, 10, 3000])
        is_chunked = self.random.random() < 0.2
        length = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
        data = (f"{'GET' if route == 'read' else 'POST'} /{route}/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request.id}\r\n"
                f"Deadline-Ms: {DEADLINE_MS}\r\n{length}\r\n\r\n").encode()
        if is_chunked:
            data += b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        else:
            data += body
        if self.random.random() < 0.2:
            split = self.random.randrange(1, len(data))
            connection.sendall(data[:split])
            time.sleep(self.random.choice([0.001, 0.02, 0.1]))
            data = data[split:]
        connection.sendall(data)
        request.sent_at = time.monotonic()


class PlannedWork:
    def __init__(self, seed, seconds, folder, instances, callers):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.problems = []
        self.running = True
        self.version = 3
        self.store = PlatformStore()
        self.store.put("op", "config", make_manifest(self.version, ROUTES, ["s"]))
        self.targets = [BusyTarget(f"i-{i}", faults_enabled=False) for i in range(8)]
        for target in self.targets:
            self.store.put("servers", target.name, make_target_entry(target, "s"))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = [None] * instances
        self.stopping = set()
        self.stops = 0
        for i in range(instances):
            self.start_instance(i)
        for instance in self.instances:
            instance.wait_until_ready()
        self.callers = [Caller(self, number, seed) for number in range(callers)]

    def start_instance(self, i):
        seeds = ",".join(f"127.0.32.{j + 1}:1" for j in range(len(self.instances)) if j != i)
        self.instances[i] = ForwardingInstance(f"127.0.32.{i + 1}", self.ports, self.store, self.folder, seeds,
                                               {"stop_grace_s": GRACE_S})

    def stop_instance(self, i):
        signalled_at = time.monotonic()
        self.instances[i].child.send_signal(signal.SIGTERM)
        for _ in range(self.random.choice([0, 0, 1, 3])):
            time.sleep(self.random.uniform(0, 1))
            self.instances[i].child.send_signal(self.random.choice([signal.SIGHUP, signal.SIGTERM]))
        code = self.instances[i].child.wait(GRACE_S + 5)
        if code != 0 or time.monotonic() - signalled_at > GRACE_S:
            self.problems.append(f"stop of instance {i}: code {code} after {time.monotonic() - signalled_at:.2f} s")
        self.stops += 1
        self.start_instance(i)
        self.instances[i].wait_until_ready()
        self.stopping.discard(i)

    def run(self):
        threads = [threading.Thread(target=caller.run) for caller in self.callers]
        for thread in threads:
            thread.start()
        stops = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.random.choice(["stop", "stop", "reload", "change"])
            i = self.random.randrange(len(self.instances))
            if kind == "stop" and i not in self.stopping and len(self.stopping) < len(self.instances) - 1:
                self.stopping.add(i)
                stops.append(threading.Thread(target=self.stop_instance, args=(i,)))
                stops[-1].start()
            elif kind == "reload" and i not in self.stopping:
                self.instances[i].child.send_signal(signal.SIGHUP)
            elif kind == "change":
                self.version += 1
                self.store.put("op", "config", make_manifest(
                    self.version, [*ROUTES, make_route(f"v{self.version}", "safe", "s")], ["s"]))
            time.sleep(self.random.uniform(0, 0.6))
        for stop in stops:
            stop.join()
        self.running = False
        for thread in threads:
            thread.join()
        return self.check()

    def check(self):
        executed = {request_id for target in self.targets for request_id in target.executed_ids}
        requests = [request for caller in self.callers for request in caller.requests]
        for request in requests:
            if request.status not in (None, 200, 503):
                self.problems.append(f"{request.id} got the status {request.status}")
            if request.status is not None or request.sent_at is None:
                continue
            held_s = (request.ended_at or time.monotonic()) - request.sent_at
            if request.id in executed:
                self.problems.append(f"{request.id} ran and its connection ended without a response after {held_s:.3f} s"
                                     f"{', behind a response that closes it' if request.is_behind_close else ''}")
            elif held_s > LOSS_SLACK_S and not request.is_behind_close:
                self.problems.append(f"{request.id} got no response within {held_s:.3f} s")
        statuses = collections.Counter(str(request.status) for request in requests)
        return {"requests": len(requests), "statuses": dict(statuses), "stops": self.stops, "problems": self.problems}

    def kill_instances(self):
        self.running = False
        for instance in self.instances:
            if instance is not None:
                instance.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15, help="how long work is planned, 1 to 3600")
    parser.add_argument("--seed", type=int, action="append", help="may be repeated; by default from the clock")
    parser.add_argument("--instances", type=int, default=3, help="2 to 60")
    parser.add_argument("--callers", type=int, default=24, help="1 to 400")
    parser.add_argument("--keep", help="folder for the logs of failed runs")
    options = parser.parse_args()
    return run_seeds(
        options.seed or [time.time_ns() % 10**9], options.seconds, options.keep,
        lambda seed, folder: PlannedWork(seed, options.seconds, folder, options.instances, options.callers))


if __name__ == "__main__":
    sys.exit(main())
