"""A job whose tasks last is given up after two crashes of executors (LOST)."""

import json
import sys
import time
from pathlib import Path

import trio

from rig import run_case

JOB = '5c0e7a21d94b36f8'
MACHINES = 14
STARTUP_S = 1.5
CRASH_AFTER_S = 0.6
CRASHES = 2
WATCH_S = 12.0


async def play(fleet, record, trouble):
    fleet.startup_s = STARTUP_S
    crashes = []

    def note_start(executor, task, run_id):
        if trouble and task == f'{JOB}.0.0.0' and len(crashes) < CRASHES:
            crashes.append(executor.machine)
            fleet.nursery.start_soon(crash_later, executor.machine)

    async def crash_later(machine):
        await trio.sleep(CRASH_AFTER_S)
        fleet.crash(machine)

    fleet.on_start = note_start
    for number in range(MACHINES):
        fleet.add_machine(f'm-{number}', f'r1-{number // 4}')
    for name in ('edge-1', 'edge-2', 'edge-3'):
        fleet.start_node(name)
    await fleet.wait_until_ready()
    await trio.sleep(12)
    step = {'count': 3, 'cpu': 2700, 'mem_mb': 14000, 'estimate_ms': 900, 'max_per_server': 1}
    step.update(long_running=True, max_unavailable=1)
    status, answer = await fleet.call('edge-1', 'POST', JOB, {'spec': json.dumps({'last': 1}), 'steps': [step]})
    record.note(f'client: POST {JOB} at edge-1: {status} {answer}')
    if status != 200:
        raise RuntimeError('the job was not accepted')
    end_s = time.monotonic() + WATCH_S
    shown = ''
    while time.monotonic() < end_s:
        await trio.sleep(0.5)
        status, answer = await fleet.call('edge-2', 'GET', JOB)
        if (status, answer.get('state')) != shown:
            shown = (status, answer.get('state'))
            record.note(f'client: GET {JOB} at edge-2: {status} {answer}')
    at_work = sum(len(each.runs) for each in fleet.executors.values() if each.up)
    failed = sum('ended failed' in line for line in Path(sys.argv[1], 'record.txt').read_text().splitlines())
    record.note(f'at the end: shown as {shown}, {at_work} of 3 tasks run, {failed} runs have ended failed')
    return shown[1] == 'failed' and failed == 0


run_case(play, sys.argv[1])
