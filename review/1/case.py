"""Over 500 ends wait on an executor when a new holder takes over."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins as s  # noqa: E402

JOBS = 10
TASKS_PER_JOB = 80
WORK_MS = 5000
EXECUTOR = {'cpu': 32_000, 'mem_mb': 131_072, 'gpu': 0}


async def case(record, folder, nodes):
    store_port, *ports = s.find_ports(3)
    store = s.Store(store_port)
    await store.server.start()
    runs = s.Runs(record)
    store.put('op', 'config', s.make_config())
    executors = [
        s.Executor(f'i-{number}', port, store, runs, s.POOL, EXECUTOR, f'm-{number}')
        for number, port in enumerate(ports)
    ]
    for executor in executors:
        await executor.start()
    for name in ('node-a', 'node-b', 'node-c'):
        nodes.append(s.Node(name, folder, store_port, record=record))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    holder = await s.wait_until(lambda: s.find_holder(store, nodes), 20, 'a holder')
    await asyncio.sleep(1)
    client = s.Client(record)
    jobs = [f'{0xABC0000000000000 + number:016x}' for number in range(JOBS)]
    for job in jobs:
        await client.submit(nodes, job, s.make_job(TASKS_PER_JOB, WORK_MS, 20, 16))
    count = JOBS * TASKS_PER_JOB
    await s.wait_until(lambda: len(runs.starts) >= count, 30, f'{count} starts')
    record.say(f'{count} tasks run: ' + str([len(e.active) for e in executors]))
    first_end_s = min(runs.starts)[0] + WORK_MS / 1000
    await asyncio.sleep(first_end_s - s.now_s() - 0.3)
    rest = nodes
    if s.TROUBLE:
        holder = s.find_holder(store, nodes)
        holder.send_signal(signal.SIGKILL)
        rest = [node for node in nodes if node is not holder]
        await asyncio.sleep(0.5)
        await holder.start()
    until_s = s.now_s() + 30
    while s.now_s() < until_s:
        await asyncio.sleep(1)
        states = [await client.read_state(rest, job) for job in jobs]
        if all(state == 'complete' for state in states):
            break
    await asyncio.sleep(2)
    record.say(f'states: {states}')
    repeated, overlaps = runs.list_repeated(), runs.list_overlaps()
    record.say(f'starts: {len(runs.starts)} for {count} tasks')
    for task, done, start in repeated[:20]:
        record.write(f'twice: {task}: done at {done}, started again at {start}')
    if repeated or overlaps:
        return f'TWICE: {len(repeated)} starts after done, {len(overlaps)} overlapping runs'
    return None


s.run_case(FOLDER, case)
