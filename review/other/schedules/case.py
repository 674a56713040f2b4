"""One tenant hands in scheduled jobs at many times its usual rate; nothing starts any more."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'common'))

import standins as s  # noqa: E402

EXECUTORS = 4
EXECUTOR = {'cpu': 32_000, 'mem_mb': 131_072, 'gpu': 0}
USUAL_PER_S = 6.0
# hot_tenant, x 7.5, for 6.5 s.
HOT_FACTOR = 7.5
HOT_S = 6.5
STEPS = 50
OCCURRENCES = 100
INTERVAL_MS = 100
# All occurrences are due by then.
SETTLE_S = 15
FINISH_S = 14
IDLE_S = 3
OTHER_KEY = 'key-of-others'


def make_schedule():
    """Return a chain of small steps that is due 100 times."""
    job = s.make_job(1, 500, 1000, 100)
    step = job['steps'][0]
    job['steps'] = [{**step, 'after': [number - 1]} if number else step for number in range(STEPS)]
    job.update(
        repeat_count=OCCURRENCES, start_at_ms=int(time.time() * 1000), interval_ms=INTERVAL_MS
    )
    return job


async def case(record, folder, nodes):
    store_port, *ports = s.find_ports(1 + EXECUTORS)
    store = s.Store(store_port)
    await store.server.start()
    runs = s.Runs(record)
    config = s.make_config()
    config['tenants'].append({**config['tenants'][0], 'name': 'others', 'api_keys': [OTHER_KEY]})
    # The tenant of the schedules may use half of the executors.
    config['tenants'][0]['cap'] = {'cpu': 16_000 * EXECUTORS, 'mem_mb': 0, 'gpu': 0}
    store.put('op', 'config', config)
    for number, port in enumerate(ports):
        executor = s.Executor(f'i-{number}', port, store, runs, s.POOL, EXECUTOR, f'm-{number}')
        await executor.start()
    for name in ('node-a', 'node-b', 'node-c'):
        nodes.append(s.Node(name, folder, store_port, record=record))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await s.wait_until(lambda: s.find_holder(store, nodes), 20, 'a holder')
    await asyncio.sleep(2)
    client = s.Client(record)
    rate = USUAL_PER_S * (HOT_FACTOR if s.TROUBLE else 1)
    count = int(rate * HOT_S)
    started_s = s.now_s()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            await asyncio.sleep(started_s + number / rate - s.now_s())
            job = f'{0xF000000000000000 + number:016x}'
            group.create_task(client.submit(nodes, job, make_schedule()))
    record.say(f'{count} scheduled jobs accepted in {s.now_s() - started_s:.1f} s')
    await asyncio.sleep(SETTLE_S)
    s.KEY = OTHER_KEY
    job = f'{0xABC0000000000000:016x}'
    await client.submit(nodes, job, s.make_job(1, 100, 1000, 100))
    handed_in_s, before = s.now_s(), len(runs.starts)
    holders = set()
    while s.now_s() < handed_in_s + FINISH_S + IDLE_S + 20:
        await asyncio.sleep(0.1)
        holder = s.find_holder(store, nodes)
        holders.add(getattr(holder, 'name', None))
        started = [start for start in runs.starts if start[2].startswith(job)]
        if started:
            record.say(f'the job of another tenant began after {started[0][0] - handed_in_s:.1f} s')
            return None
    waited_s = s.now_s() - handed_in_s
    return (
        f'LOST: no start of the job in {waited_s:.0f} s; starts of all jobs in that time: '
        f'{len(runs.starts) - before}; holders in that time: {sorted(map(str, holders))}'
    )


s.run_case(FOLDER, case)
