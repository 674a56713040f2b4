"""Tasks stay bound to an executor that is gone, beyond a planned restart of the holder (LOST)."""

import json
import sys
import time

import trio

from rig import run_case

FIRST = '5c0e7a21d94b36f0'
JOBS = [f'5c0e7a21d94b36f{number}' for number in range(1, 5)]
MACHINES = 8
SUBMIT_AFTER_S = 0.4
RESTART_AFTER_S = 1.5
BACK_AFTER_S = 1.9
# The rule asks for the jobs 14 s after the last one came in, and then gives them 3 s.
LIMIT_S = 17.0
WATCH_S = 40.0


def make_job(**spec):
    step = {'count': 1, 'cpu': 1800, 'mem_mb': 3600, 'estimate_ms': 1000}
    return {'spec': json.dumps(spec), 'steps': [step]}


async def play(fleet, record, trouble):
    started = {}

    def note_start(executor, task, run_id):
        started.setdefault(task[:16], []).append((time.monotonic(), executor.machine))

    async def back(machine):
        await trio.sleep(BACK_AFTER_S)
        fleet.start_executor(machine)

    fleet.on_start = note_start
    for number in range(MACHINES):
        fleet.add_machine(f'm-{number}', f'r1-{number // 4}')
    for name in ('edge-1', 'edge-2', 'edge-3'):
        fleet.start_node(name)
    await fleet.wait_until_ready()
    await trio.sleep(12)
    holder = fleet.find_holder()
    record.note(f'the holder is {holder}')
    others = [name for name in fleet.node_addresses if name != holder]
    status, answer = await fleet.call(others[0], 'POST', FIRST, make_job(work_s=60))
    record.note(f'client: POST {FIRST} at {others[0]}: {status} {answer}')
    await trio.sleep(6)
    machine = started[FIRST][-1][1]
    if trouble:
        fleet.darken(machine)
        fleet.nursery.start_soon(back, machine)
    await trio.sleep(SUBMIT_AFTER_S)
    for job in JOBS:
        status, answer = await fleet.call(others[0], 'POST', job, make_job(work_s=1))
        record.note(f'client: POST {job} at {others[0]}: {status} {answer}')
        if status != 200:
            raise RuntimeError('a job was not accepted')
    accepted_s = time.monotonic()
    await trio.sleep(RESTART_AFTER_S - SUBMIT_AFTER_S)
    fleet.nursery.start_soon(fleet.restart_node, holder)
    while len(started) <= len(JOBS) and time.monotonic() < accepted_s + WATCH_S:
        await trio.sleep(0.1)
        if LIMIT_S - 0.05 <= time.monotonic() - accepted_s < LIMIT_S + 0.05:
            for job in JOBS:
                record.note(f'client: GET {job} at {others[1]}: {await fleet.call(others[1], "GET", job)}')
    waits_s = [(started[job][0][0] if job in started else time.monotonic()) - accepted_s for job in JOBS]
    for job, wait_s in zip(JOBS, waits_s):
        record.note(f'{job}: first run {wait_s:.1f} s after the last job was accepted')
    return max(waits_s) > LIMIT_S


run_case(play, sys.argv[1])
