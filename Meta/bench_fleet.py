"""Benches of whole fleets on loopback: added latency, claims under faults, tables in force, control's cost."""
import collections
import json
import signal
import statistics
import time

import fleet as fleets

CALLS_PER_SECOND = 37000
INSTANCES_TODAY = 17
INSTANCE_SHARE = CALLS_PER_SECOND / INSTANCES_TODAY


def path(figures, quick):
    """Added latency at one instance's share of the calls, and what an instance costs when idle."""
    count = 5000 if quick else 11000
    with fleets.Fleet() as fleet:
        fleet.start_platform()
        targets = [fleet.start_target("badge-register", fleets.ZONES[number % 3], slots=200, service_ms=0)
                   for number in range(2)]
        fleet.wait_for_targets()
        for _ in range(3):
            fleet.start_instance(threads=1)
        fleet.add_route("badge-lookup", "/badges", "badge-register", True)
        fleet.wait_for_members()
        fleet.apply()
        time.sleep(1)
        idle_before = [one.process.cpu_seconds() for one in fleet.instances]
        time.sleep(4)
        idle = [(one.process.cpu_seconds() - before) / 4 for one, before in zip(fleet.instances, idle_before)]
        figures.add("path.idle_processor", max(idle) * 100, "percent_of_core", "<", 0.5)

        def load(**flags):
            shared = dict(count=count, concurrency=64, warm_up=1000, path="/badges/7", seconds=30)
            return fleets.summary(fleet.caller(**{**shared, **flags}))

        # Rounds in turn, so that what else the machine does weighs on both alike.
        rounds = [(load(direct=targets[0], rate=INSTANCE_SHARE), load(rate=INSTANCE_SHARE)) for _ in range(5)]
        through = rounds[-1][1]

        def added(quantile):
            return statistics.median(after[quantile] - before[quantile] for before, after in rounds)

        figures.add("path.direct_p99", statistics.median(direct["p99_ms"] for direct, _ in rounds), "ms")
        figures.add("path.added_p50", added("p50_ms"), "ms")
        figures.add("path.added_p99", added("p99_ms"), "ms", "<=", 0.47)
        figures.add("path.rate", through["requests"] / through["seconds"], "requests_per_second")
        figures.add("path.failed", through["failed"] + through["foreign"], "requests", "==", 0)
        before = sum(one.process.cpu_seconds() for one in fleet.instances)
        saturated = load(rate=0)
        spent = sum(one.process.cpu_seconds() for one in fleet.instances) - before
        figures.add("path.processor_per_request", spent / saturated["requests"] * 1e6, "microseconds")
        figures.add("path.saturated_rate", saturated["requests"] / saturated["seconds"], "requests_per_second")
        figures.add("path.idle_connection_memory", idle_connection_bytes(fleet), "bytes")


def idle_connection_bytes(fleet, connections=2000):
    """Resident memory that an idle kept-open connection adds to an instance."""
    import socket

    instance = fleet.instances[0]
    host, port = instance.caller.split(":")
    before = instance.process.memory_bytes()
    held = []
    for _ in range(connections):
        one = socket.create_connection((host, int(port)))
        one.sendall(b"GET /.pomelospread/addresses?path=/badges HTTP/1.1\r\nHost: x\r\n\r\n")
        held.append(one)
    for one in held:
        one.recv(4096)
    time.sleep(0.5)
    after = instance.process.memory_bytes()
    for one in held:
        one.close()
    return (after - before) / connections


def claims(figures, quick):
    """Added time of a claim, and how often an outcome is unknown per kind of fault."""
    count = 2000 if quick else 6000
    with fleets.Fleet() as fleet:
        fleets.trading_office(fleet, instances=4, threads=1)
        writes_before = json.loads(fleets.get(fleet.platform_address, "/counts")[2])["writes"]
        started = time.monotonic()
        pay = dict(method="POST", path="/renewals/7", concurrency=32, timeout_ms=1500, seconds=60)
        steady = fleets.summary(fleet.caller(name="steady", count=count, rate=500, warm_up=200, **pay))
        elapsed = time.monotonic() - started
        writes = json.loads(fleets.get(fleet.platform_address, "/counts")[2])["writes"] - writes_before
        figures.add("claims.store_writes", writes / elapsed, "writes_per_second", "<=", 100)
        waits = [one.metrics() for one in fleet.instances]
        total = sum(one["pomelospread_claim_seconds_sum"] for one in waits)
        number = sum(one["pomelospread_claim_seconds_count"] for one in waits)
        figures.add("claims.mean_wait_for_witness", total / number * 1000, "ms")
        figures.add("claims.failed_in_quiet", steady["failed"], "requests", "==", 0)

        def under(name, fault):
            caller = fleet.caller(name=name, count=count, rate=500, **pay)
            fault()
            seen = fleets.summary(caller)
            unknown = seen["outcomes"].get("unknown", 0) + seen["outcomes"].get("no-answer", 0)
            figures.add(f"claims.unknown_per_million.{name}", unknown / count * 1e6, "requests")

        def kill():
            time.sleep(1)
            fleet.deciding_pair("/renewals/7")["primary"].process.kill()

        def pause():
            time.sleep(1)
            paused = fleet.deciding_pair("/renewals/7")["primary"].process
            paused.signal(signal.SIGSTOP)
            time.sleep(1)
            paused.signal(signal.SIGCONT)

        def outage():
            fleet.faults(outage=True)

        under("store-outage", outage)
        under("paused-primary", pause)
        under("killed-primary", kill)
        fleet.faults()
        twice = [key for key, times in fleet.executions().items() if key.startswith("k1-") and times > 1]
        figures.add("claims.ran_twice", len(twice), "requests", "==", 0)


def fleet_wide(figures, quick):
    """Time until an edit is in force everywhere, and failed requests in a rolling replacement."""
    size = 9 if quick else INSTANCES_TODAY
    edits = 10 if quick else 30
    with fleets.Fleet() as fleet:
        fleets.trading_office(fleet, instances=size, threads=1)

        def time_edits(number):
            times = []
            for _ in range(number):
                fleet.routes[0]["deadline_ms"] += 1
                answer = json.loads(fleet.apply().stdout)
                assert answer["in_force_everywhere"], answer
                times.append(answer["milliseconds"])
            return times

        quiet = time_edits(edits)
        figures.add("fleet.in_force_p50", statistics.median(quiet), "ms", "<", 300)
        figures.add("fleet.in_force_max", max(quiet), "ms", "<=", 4000)
        # The store dies right after it accepted: whoever read the version tells the rest.
        fleet.routes[0]["deadline_ms"] += 1
        accepted = json.loads(fleet.apply(wait=False).stdout)["version"]
        started = time.monotonic()
        time.sleep(0.6)
        fleet.faults(outage=True)
        fleets.wait_until(lambda: all(one.status()["tables_version"] >= accepted for one in fleet.instances), 10)
        figures.add("fleet.in_force_outage_after_accept", (time.monotonic() - started) * 1000, "ms", "<=", 4000)
        fleet.faults()
        rolling_replacement(figures, fleet, 3 if quick else 6)


def rolling_replacement(figures, fleet, replaced):
    length = replaced * 4
    callers = [
        fleet.caller(name="lookups", count=length * 200, rate=200, concurrency=16, seconds=length),
        fleet.caller(name="payments", method="POST", path="/renewals/7", count=length * 50, rate=50, concurrency=16,
                     seconds=length),
    ]
    codes = []
    for number in range(replaced):
        fresh = fleet.start_instance()
        fleets.wait_until(lambda: fresh.status()["tables_version"] > 0)
        codes.append(fleet.stop_instance(fleet.instances[number]))
    seen = [fleets.summary(caller) for caller in callers]
    figures.add("fleet.rolling_replacement_failed", sum(one["failed"] + one["foreign"] for one in seen), "requests",
                "==", 0)
    figures.add("fleet.rolling_replacement_second_tries", sum(one["extra_tries"] for one in seen), "tries")
    figures.add("fleet.rolling_replacement_bad_exits", sum(code != 0 for code in codes), "instances", "==", 0)


def capacity(figures, quick):
    """Processor, memory and bytes that control costs a node, at several fleet and table sizes."""
    rows = []
    for size in ([5, 17, 30] if quick else [5, 10, 17, 30, 60]):
        rows.append(control_cost(size, targets=20, seconds=5 if quick else 10))
    for targets in ([100, 660] if quick else [100, 330, 660]):
        rows.append(control_cost(5, targets=targets, seconds=5))
    for row in rows:
        name = f"capacity.{row['instances']}_instances_{row['targets']}_targets"
        figures.add(f"{name}.processor", row["processor"], "percent_of_core", "<=", 2.2)
        figures.add(f"{name}.memory", row["memory"] / 2**20, "MiB", "<=", 32)
        figures.add(f"{name}.bytes", row["bytes"] / 1000, "kB_per_second", "<=", 6)


def control_cost(size, targets, seconds):
    with fleets.Fleet() as fleet:
        fleet.start_platform()
        for number in range(targets):
            address = f"127.0.{number // 250 + 1}.{number % 250 + 1}:7100"
            service = f"service-{number % 58}"
            fleet.pools.setdefault(service, {"slots": 6, "targets": []})["targets"].append(
                (address, fleets.ZONES[number % 3]))
        for number, service in enumerate(fleet.pools):
            fleet.add_route(f"route-{number}", f"/r{number}", service, True)
        for _ in range(size):
            fleet.start_instance(threads=1)
        fleet.wait_for_members(limit=60)
        fleet.apply()
        time.sleep(1)
        before = [(one.process.cpu_seconds(), gossip_bytes(one)) for one in fleet.instances]
        time.sleep(seconds)
        after = [(one.process.cpu_seconds(), gossip_bytes(one)) for one in fleet.instances]
        pairs = list(zip(before, after))
        return {
            "instances": size,
            "targets": targets,
            "processor": statistics.mean((late[0] - early[0]) / seconds * 100 for early, late in pairs),
            "memory": statistics.mean(one.process.memory_bytes() for one in fleet.instances),
            "bytes": statistics.mean((late[1] - early[1]) / seconds for early, late in pairs),
        }


def gossip_bytes(instance):
    seen = instance.metrics()
    header = 28
    sent = seen["pomelospread_heartbeat_bytes_sent_total"] + header * seen["pomelospread_heartbeats_sent_total"]
    received = (seen["pomelospread_heartbeat_bytes_received_total"] +
                header * seen["pomelospread_heartbeats_received_total"])
    return sent + received
