"""The choice of target: in virtual time against baselines, and what one decision costs."""
import json
import subprocess

import fleet as fleets
from figures import FOLDER, write_bars

CASES = ["quiet", "stragglers", "load-steps", "fast-failing", "cold-start", "drain", "uneven-callers", "home-lost",
         "third-ignores-homes"]
POOLS = ["badge-register", "fees-ledger", "pitch-marshal", "notice-board", "slide-relay", "classroom-control"]
COMPARED = ["two-choices", "omniscient-queue", "system-without-hedges", "system"]
SHOWN = ["random", *COMPARED]


def run(seeds, seconds, loads, **lists):
    flags = [f"--{name}={','.join(words)}" for name, words in lists.items()]
    done = subprocess.run(
        [fleets.BUILD / "Benches/bench_policy", f"--seeds={seeds}", f"--seconds={seconds}", f"--loads={loads}", *flags],
        capture_output=True, text=True, check=True, timeout=1800)
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    return sorted(rows, key=lambda row: (row["pool"], row["scenario"], row["load"], row["strategy"]))


def first_by_case(rows):
    """The row of each pool, scenario, load and strategy; the first run of it counts."""
    return {(row["pool"], row["scenario"], row["load"], row["strategy"]): row for row in reversed(rows)}


def bounded_figures(figures, rows):
    """Adds the figures that have a stated target, at load 0.75."""
    by_case = first_by_case(rows)

    def p99(pool, scenario, strategy):
        return by_case[pool, scenario, 0.75, strategy]["p99_ms"]["mean"]

    for pool in POOLS:
        for scenario in CASES:
            limit = p99(pool, scenario, "omniscient-queue")
            mean = p99(pool, scenario, "system-without-hedges")
            usual = p99(pool, scenario, "two-choices")
            name = f"policy.{pool}.{scenario}"
            figures.add(f"{name}.p99_to_omniscient", mean / limit, "ratio", "<=", 1.10)
            figures.add(f"{name}.p99_hedged_to_omniscient", p99(pool, scenario, "system") / limit, "ratio", "<", 1.0)
            if scenario != "quiet":
                figures.add(f"{name}.excess_to_two_choices", (mean - limit) / (usual - limit), "ratio", "<=", 0.25)
    figures.add("policy.hedge_share_max", max(row["hedge_share"] for row in rows if row["strategy"] == "system"),
                "ratio", "<=", 0.02)
    figures.add("policy.retry_share_max", max(row["retry_share"] for row in rows), "ratio", "<=", 0.10)


def policy(figures, quick):
    seeds, seconds = (5, 10) if quick else (20, 20)
    rows = run(seeds, seconds, "0.75", strategies=SHOWN + ["least-own", "round-robin"])
    if not quick:
        rows += run(5, 10, "0.5,0.85,0.9,0.95", strategies=SHOWN, scenarios=["stragglers"])
        rows += run(5, 20, "0.75", scenarios=["stragglers", "fast-failing", "cold-start", "third-ignores-homes"],
                    pools=["badge-register", "notice-board", "classroom-control"])
    bounded_figures(figures, rows)
    by_case = first_by_case(rows)
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / "policy-rows.json").write_text("[\n" + ",\n".join(json.dumps(row) for row in rows) + "\n]\n")
    for pool in ("badge-register", "notice-board", "classroom-control"):
        write_bars(f"policy-{pool}", f"{pool}: p99 at load 0.75", CASES,
                   {strategy: [by_case[pool, scenario, 0.75, strategy]["p99_ms"]["mean"] for scenario in CASES]
                    for strategy in SHOWN}, "ms")


def decision(figures, quick):
    done = subprocess.run(
        [fleets.BUILD / "Benches/bench_decision", "--benchmark_format=json",
         f"--benchmark_min_time={0.1 if quick else 0.5}"],
        capture_output=True, text=True, check=True, timeout=600)
    times = {row["name"]: row["cpu_time"] for row in json.loads(done.stdout)["benchmarks"]}
    figures.add("decision.20_targets", times["choose/20"], "ns", "<=", 1000)
    figures.add("decision.660_targets", times["choose/660"], "ns", "<=", 2000)
    figures.add("decision.20_targets_to_random", times["choose/20"] / times["choose_random/20"], "ratio")
    figures.add("decision.660_targets_to_random", times["choose/660"] / times["choose_random/660"], "ratio")
    figures.add("log_line.queued", times["log_line"], "ns")
