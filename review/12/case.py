"""An upkeep ends a task beside one that was lost with its executor just after a change of the holder (AVAIL)."""

import json
import sys
import time

import trio

from rig import run_case

JOB = '5c0e7a21d94b36f8'
TASKS = 5
MACHINES = 10
WAVE = 1
WAVE_S = 27
CAP = 5
LOST_AFTER_S = 2.5
WAVE_AFTER_S = 7.2
NOTICE_S = 4.5
MAX_UNAVAILABLE = 1


async def play(fleet, record, trouble):
    away_since = {}
    ordered = set()
    broken = []

    def list_at_work():
        """Return the tasks that are at work, by the executor that runs them."""
        now_s = time.monotonic()
        return {
            run.task: executor
            for executor in fleet.executors.values()
            if executor.up
            for run in executor.runs.values()
            if executor.percent(run, now_s) == 100
        }

    async def watch():
        while True:
            at_work = list_at_work()
            for number in range(TASKS):
                task = f'{JOB}.0.0.{number}'
                if task in at_work:
                    away_since.pop(task, None)
                    ordered.discard(task)
                else:
                    away_since.setdefault(task, time.monotonic())
            await trio.sleep(0.02)

    def check_upkeep(machine, executor):
        """Note whether an upkeep ends a task at work while too many others are away."""
        now_s = time.monotonic()
        at_work = list_at_work()
        ended = [task for task, where in at_work.items() if where is executor]
        away = [task for task, since_s in away_since.items() if task in ordered or now_s - since_s >= NOTICE_S]
        for task in ended:
            record.note(f'upkeep of {machine} ends {task} at work; away of its step: {away}')
            if len(away) >= MAX_UNAVAILABLE:
                broken.append(task)
            ordered.add(task)
            away.append(task)

    fleet.on_upkeep = check_upkeep
    for number in range(MACHINES):
        fleet.add_machine(f'm-{number}', f'r1-{number // 4}')
    for name in ('edge-1', 'edge-2', 'edge-3'):
        fleet.start_node(name)
    await fleet.wait_until_ready()
    await trio.sleep(8)
    holder = fleet.find_holder()
    other = next(name for name in fleet.node_addresses if name != holder)
    step = {'count': TASKS, 'cpu': 2700, 'mem_mb': 14000, 'estimate_ms': 900, 'max_per_server': 1}
    step.update(long_running=True, max_unavailable=MAX_UNAVAILABLE)
    status, answer = await fleet.call(other, 'POST', JOB, {'spec': json.dumps({'last': 1}), 'steps': [step]})
    record.note(f'client: POST {JOB} at {other}: {status} {answer}')
    if status != 200:
        raise RuntimeError('the job was not accepted')
    await trio.sleep(6)
    fleet.nursery.start_soon(watch)
    machines = [executor.machine for executor in list_at_work().values()]
    record.note(f'{len(machines)} of {TASKS} tasks are at work, on {machines}; the holder is {holder}')
    fleet.nursery.start_soon(fleet.restart_node, holder)
    await trio.sleep(LOST_AFTER_S)
    record.note(f'the holder is {fleet.find_holder()}')
    if trouble:
        fleet.darken(machines[0])
    await trio.sleep(WAVE_AFTER_S - LOST_AFTER_S)
    wave = {'rollout_wave': WAVE, 'machines': machines[1:], 'duration_s': WAVE_S, 'cap': CAP}
    fleet.store.write_document('op', f'wave/{WAVE}', wave)
    record.note(f'operator: writes {wave}')
    await trio.sleep(15)
    record.note(f'{len(broken)} tasks ended that had to be left: {broken}')
    return bool(broken)


run_case(play, sys.argv[1])
