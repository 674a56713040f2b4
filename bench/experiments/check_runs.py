"""Compares what callers were told with what the executors ran."""

from collections import Counter

from bench.fleet import Fleet
from bench.fleet_process import FleetProcess
from bench.timeline import Sample


def read_runs(fleet: Fleet) -> Counter[str]:
    """Return the runs by request id of all target processes that still answer.

    The run logs of killed processes are gone; frozen ones are resumed to be asked.
    """
    runs: Counter[str] = Counter()
    for index, process in enumerate(fleet.targets):
        if _resume(process):
            runs.update(fleet.read_run_log(index)['runs'])
    return runs


def count_false_outcomes(fleet: Fleet, samples: list[Sample]) -> tuple[int, int]:
    """Return how many requests ran more than once and how many ran though `not-run` was said.

    An idempotent request may run more than once; for POST the first number must be 0.
    """
    runs = read_runs(fleet)
    doubled = sum(1 for count in runs.values() if count > 1)
    not_run = {sample.request_id for sample in samples if sample.outcome == 'not-run'}
    return doubled, sum(1 for request_id in not_run if runs[request_id])


def _resume(process: FleetProcess) -> bool:
    process.thaw()
    return process.is_running()
