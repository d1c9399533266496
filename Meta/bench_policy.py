"""Benches of target selection: simulations in virtual time against baselines, and the cost of one decision."""
import json
import subprocess

import fleet as fleets
from figures import RESULTS_FOLDER, write_bar_chart

SCENARIOS = ["quiet", "stragglers", "load-steps", "fast-failing", "cold-start", "drain", "uneven-callers", "home-lost",
         "third-ignores-homes"]
POOLS = ["badge-register", "fees-ledger", "pitch-marshal", "notice-board", "slide-relay", "classroom-control"]
BOUNDED_STRATEGIES = ["two-choices", "omniscient-queue", "system-without-hedges", "system"]
PLOTTED_STRATEGIES = ["random", *BOUNDED_STRATEGIES]


def run_simulations(seeds, seconds, loads, **list_flags):
    flags = [f"--{name}={','.join(values)}" for name, values in list_flags.items()]
    completed = subprocess.run(
        [fleets.BUILD / "Benches/bench_policy", f"--seeds={seeds}", f"--seconds={seconds}", f"--loads={loads}", *flags],
        capture_output=True, text=True, check=True, timeout=1800)
    rows = [json.loads(line) for line in completed.stdout.splitlines()]
    return sorted(rows, key=lambda row: (row["pool"], row["scenario"], row["load"], row["strategy"]))


def index_by_case(rows):
    """Maps (pool, scenario, load, strategy) to its row. If a case was run more than once, the first row is used."""
    return {(row["pool"], row["scenario"], row["load"], row["strategy"]): row for row in reversed(rows)}


def add_bounded_results(results, rows):
    """Adds the results that have a bound, at load 0.75."""
    by_case = index_by_case(rows)

    def p99(pool, scenario, strategy):
        return by_case[pool, scenario, 0.75, strategy]["p99_ms"]["mean"]

    for pool in POOLS:
        for scenario in SCENARIOS:
            omniscient = p99(pool, scenario, "omniscient-queue")
            system = p99(pool, scenario, "system-without-hedges")
            two_choices = p99(pool, scenario, "two-choices")
            name = f"policy.{pool}.{scenario}"
            results.add(f"{name}.p99_to_omniscient", system / omniscient, "ratio", "<=", 1.10)
            results.add(f"{name}.p99_hedged_to_omniscient", p99(pool, scenario, "system") / omniscient,
                        "ratio", "<", 1.0)
            if scenario != "quiet":
                results.add(f"{name}.excess_to_two_choices", (system - omniscient) / (two_choices - omniscient),
                            "ratio", "<=", 0.25)
    results.add("policy.hedge_share_max", max(row["hedge_share"] for row in rows if row["strategy"] == "system"),
                "ratio", "<=", 0.02)
    results.add("policy.retry_share_max", max(row["retry_share"] for row in rows), "ratio", "<=", 0.10)


def measure_policy(results, quick):
    seeds, seconds = (5, 10) if quick else (20, 20)
    rows = run_simulations(seeds, seconds, "0.75", strategies=PLOTTED_STRATEGIES + ["least-own", "round-robin"])
    if not quick:
        rows += run_simulations(5, 10, "0.5,0.85,0.9,0.95", strategies=PLOTTED_STRATEGIES, scenarios=["stragglers"])
        rows += run_simulations(5, 20, "0.75",
                                scenarios=["stragglers", "fast-failing", "cold-start", "third-ignores-homes"],
                                pools=["badge-register", "notice-board", "classroom-control"])
    add_bounded_results(results, rows)
    by_case = index_by_case(rows)
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    (RESULTS_FOLDER / "policy-rows.json").write_text("[\n" + ",\n".join(json.dumps(row) for row in rows) + "\n]\n")
    for pool in ("badge-register", "notice-board", "classroom-control"):
        write_bar_chart(f"policy-{pool}", f"{pool}: p99 at load 0.75", SCENARIOS,
                        {strategy: [by_case[pool, scenario, 0.75, strategy]["p99_ms"]["mean"] for scenario in SCENARIOS]
                         for strategy in PLOTTED_STRATEGIES}, "ms")


def measure_decision(results, quick):
    completed = subprocess.run(
        [fleets.BUILD / "Benches/bench_decision", "--benchmark_format=json",
         f"--benchmark_min_time={0.1 if quick else 0.5}"],
        capture_output=True, text=True, check=True, timeout=600)
    times = {row["name"]: row["cpu_time"] for row in json.loads(completed.stdout)["benchmarks"]}
    results.add("decision.20_targets", times["choose/20"], "ns", "<=", 1000)
    results.add("decision.660_targets", times["choose/660"], "ns", "<=", 2000)
    results.add("decision.20_targets_to_random", times["choose/20"] / times["choose_random/20"], "ratio")
    results.add("decision.660_targets_to_random", times["choose/660"] / times["choose_random/660"], "ratio")
    results.add("log_line.queued", times["log_line"], "ns")
