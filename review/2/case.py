"""The executors that ran a step are lost for good; others may run it, far down the list."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins as s  # noqa: E402

EXECUTORS = 40
EXECUTOR = {'cpu': 32_000, 'mem_mb': 131_072, 'gpu': 0}
# srv_crash, how gone: share 0.14 of 40 would be 5.
LOST = ('i-00', 'i-01', 'i-02')
ALLOWED = (*LOST, 'i-37', 'i-38', 'i-39')
WORK_MS = 8000
FINISH_S = 14
IDLE_S = 3


async def case(record, folder, nodes):
    store_port, advice_port, *ports = s.find_ports(2 + EXECUTORS)
    store = s.Store(store_port)
    await store.server.start()
    advice = s.Advice(advice_port, record, lambda name: name in ALLOWED)
    await advice.server.start()
    runs = s.Runs(record)
    store.put('op', 'config', s.make_config(recommendation=advice.describe()))
    executors = [
        s.Executor(f'i-{number:02}', port, store, runs, s.POOL, EXECUTOR, f'm-{number}')
        for number, port in enumerate(ports)
    ]
    for executor in executors:
        advice.add(executor)
        await executor.start()
    for name in ('node-a', 'node-b', 'node-c'):
        nodes.append(s.Node(name, folder, store_port, record=record, advice_port=advice_port))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await s.wait_until(lambda: s.find_holder(store, nodes), 20, 'a holder')
    await asyncio.sleep(2)
    client = s.Client(record)
    job = f'{0xABC0000000000000:016x}'
    await client.submit(nodes, job, s.make_job(1, WORK_MS, 4000, 1024))
    handed_in_s = s.now_s()
    await s.wait_until(lambda: runs.starts, 20, 'a start of the job')
    record.say(f'the job runs on {runs.starts[0][1]}')
    await asyncio.sleep(1)
    if s.TROUBLE:
        for executor in executors:
            if executor.name in LOST:
                record.write(f'executor {executor.name} is lost for good')
                executor.crash()
        # The platform removes the entries after three heartbeat intervals of silence.
        await asyncio.sleep(3 * s.HEARTBEAT_S)
        for executor in executors:
            if executor.name in LOST:
                executor.unregister()
    state, idle_since_s = None, None
    until_s = s.now_s() + 50
    while s.now_s() < until_s:
        told = await client.read_state(nodes, job)
        if told != state:
            record.say(f'state of the job: {told}')
        state = told
        if state == 'complete':
            return None
        running = any(executor.active for executor in executors)
        idle_since_s = None if running else idle_since_s or s.now_s()
        await asyncio.sleep(0.2)
    record.say(f'starts of the job: {[start[1] for start in runs.starts]}')
    from_s = max(idle_since_s or until_s, handed_in_s + FINISH_S)
    free = [e.name for e in executors if e.alive and e.name in ALLOWED and not e.active]
    if until_s - from_s >= IDLE_S and len(free) >= 2:
        idle_s = until_s - idle_since_s
        return f'LOST: nothing of the job has run for {idle_s:.0f} s, {free} are free for it'
    return None


s.run_case(FOLDER, case)
