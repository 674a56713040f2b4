"""Open-loop load: `python -m bench.load plan.yaml`.

Requests are sent at a set rate whatever becomes of earlier ones, and latency counts from the
intended send time, so that a slow entry can't hide its latency by slowing the load down.
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import click
import psutil
from hdrh.histogram import HdrHistogram

from bench.load_plan import LoadPlan
from bench.load_result import LoadResult, StreamResult, read_quantiles_ms
from comfreywind.settings.loader import load_settings

START_DELAY_S = 1.5
# A process that uses more of its core than this shapes the load itself.
BUSY_RATIO = 0.9
SENT_RATIO = 0.99
LAG_LIMIT_MS = 50
LAG_QUANTILE = 99


def run_load(plan: LoadPlan) -> LoadResult:
    """Run the plan in its processes and return the sum of their results."""
    stand_ins = [psutil.Process(pid) for pid in plan.watched_pids]
    used_s = [read_cpu_s(process) for process in stand_ins]
    psutil.cpu_percent()
    start_s = time.monotonic() + START_DELAY_S
    workers = [_start_worker(plan, worker, start_s) for worker in range(plan.processes)]
    time.sleep(max(0, start_s + plan.duration_s - time.monotonic()))
    busy = [
        (read_cpu_s(process) - used) / (plan.duration_s + START_DELAY_S)
        for process, used in zip(stand_ins, used_s, strict=True)
    ]
    machine_ratio = psutil.cpu_percent() / 100
    load = _sum_documents(plan, [_read_worker(worker) for worker in workers])
    load.busiest_stand_in_ratio = max(busy, default=0)
    load.machine_ratio = machine_ratio
    load.faults = find_faults(load)
    return load


def find_faults(load: LoadResult) -> list[str]:
    """Return the reasons why the figures are not valid."""
    lag_ms = load.lag_us.get_value_at_percentile(LAG_QUANTILE) / 1000
    checks = (
        (
            load.sent >= SENT_RATIO * load.planned,
            f'only {load.sent} of {load.planned} requests were sent',
        ),
        (lag_ms <= LAG_LIMIT_MS, f'requests were sent late: {lag_ms:.0f} ms at p{LAG_QUANTILE}'),
        (
            load.busiest_loader_ratio <= BUSY_RATIO,
            f'a load process used {load.busiest_loader_ratio:.0%} of a core',
        ),
        (
            load.busiest_stand_in_ratio <= BUSY_RATIO,
            f'a stand-in used {load.busiest_stand_in_ratio:.0%} of a core and may be the limit',
        ),
        (
            load.machine_ratio <= BUSY_RATIO,
            f'all cores together were {load.machine_ratio:.0%} busy and may be the limit',
        ),
    )
    return [fault for passed, fault in checks if not passed]


def describe(plan: LoadPlan, load: LoadResult) -> dict[str, Any]:
    """Return the figures by team, queue and entry, and over all, as a JSON document."""
    measured_s = plan.duration_s - plan.warm_up_s
    rows = [
        {
            'team': stream.team,
            'queue': stream.queue,
            'entry': stream.entry,
            **_describe_stream(load.streams[index], measured_s),
        }
        for index, stream in enumerate(plan.streams)
    ]
    return {
        'valid': load.valid,
        'faults': load.faults,
        'planned': load.planned,
        'sent': load.sent,
        'lag': read_quantiles_ms(load.lag_us),
        'busiest_loader_ratio': round(load.busiest_loader_ratio, 3),
        'busiest_stand_in_ratio': round(load.busiest_stand_in_ratio, 3),
        'machine_ratio': round(load.machine_ratio, 3),
        'all': _describe_stream(load.sum_streams(range(len(plan.streams))), measured_s),
        'streams': rows,
    }


def _describe_stream(stream: StreamResult, measured_s: float) -> dict[str, Any]:
    return {
        'outcomes': dict(stream.outcomes),
        'goodput_hz': round(stream.in_time / measured_s, 2),
        'answered': read_quantiles_ms(stream.answered_us),
        'refused': read_quantiles_ms(stream.refused_us),
    }


def _start_worker(plan: LoadPlan, worker: int, start_s: float) -> 'subprocess.Popen[str]':
    order = {'plan': plan.model_dump(mode='json'), 'worker': worker, 'start_s': start_s}
    process = subprocess.Popen(
        [sys.executable, '-m', 'bench.load_worker'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    if process.stdin is None:
        raise RuntimeError('the load process has no input')
    process.stdin.write(json.dumps(order))
    process.stdin.close()
    return process


def _read_worker(process: 'subprocess.Popen[str]') -> dict[str, Any]:
    if process.stdout is None:
        raise RuntimeError('the load process has no output')
    text = process.stdout.read()
    if process.wait() != 0:
        raise RuntimeError('a load process failed')
    document: dict[str, Any] = json.loads(text)
    return document


def _sum_documents(plan: LoadPlan, documents: list[dict[str, Any]]) -> LoadResult:
    load = LoadResult([StreamResult() for _ in plan.streams])
    for document in documents:
        for total, part in zip(load.streams, document['streams'], strict=True):
            total.add(StreamResult.from_document(part))
        load.planned += document['planned']
        load.sent += document['sent']
        load.lag_us.add(HdrHistogram.decode(document['lag_us'].encode()))
        load.busiest_loader_ratio = max(load.busiest_loader_ratio, document['cpu_ratio'])
    return load


def read_cpu_s(process: psutil.Process) -> float:
    """Return the processor time that the process has used, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


@click.command()
@click.argument('plan_path', type=click.Path(path_type=Path))
def main(plan_path: Path) -> None:
    """Run the plan in the YAML file and print the figures as JSON; exit with 1 if not valid."""
    plan = load_settings(LoadPlan, plan_path)
    load = run_load(plan)
    click.echo(json.dumps(describe(plan, load), indent=2))
    sys.exit(0 if load.valid else 1)


if __name__ == '__main__':
    main()
