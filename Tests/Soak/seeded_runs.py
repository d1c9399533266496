"""Runs a soak once for each seed and keeps the logs of the runs that found a problem."""
import json
import pathlib
import tempfile


def run_seeds(seeds, seconds, keep, make_run, print_details=lambda run: None):
    """`make_run(seed, folder)` returns an object with `run` and `kill_instances`. Returns the exit code."""
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            current = make_run(seed, folder)
            try:
                result = current.run()
            finally:
                current.kill_instances()
            print(json.dumps({"seed": seed, "seconds": seconds, **result}), flush=True)
            if result["problems"]:
                failed += 1
                print_details(current)
                if keep:
                    keep_logs(pathlib.Path(folder), pathlib.Path(keep) / str(seed))
    return 1 if failed else 0


def keep_logs(folder, kept_folder):
    kept_folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (kept_folder / log.name).write_bytes(log.read_bytes())
