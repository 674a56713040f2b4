"""A queue's count of waiting jobs while the holder is stopped as planned."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins as s  # noqa: E402

JOBS = 40
WORK_MS = 60_000
EXECUTOR = {'cpu': 32_000, 'mem_mb': 131_072, 'gpu': 0}
# `visible_ms` + 2 s.
SETTLED_S = 5.0
GRACE_S = 6.0


async def watch(client, node, asked, until_s):
    """Ask for the count again and again, on a new connection each time."""
    while s.now_s() < until_s:
        sent_s = s.now_s()
        status, document = await client.call(node, 'GET', '')
        asked.append((sent_s, s.now_s(), node.name, status, document.get('pending')))
        client.record.write(f'GET of the count at {node.name}: {status} {document}')
        await asyncio.sleep(0.1)


async def case(record, folder, nodes):
    store_port, *ports = s.find_ports(3)
    store = s.Store(store_port)
    await store.server.start()
    runs = s.Runs(record)
    store.put('op', 'config', s.make_config())
    for number, port in enumerate(ports):
        executor = s.Executor(f'i-{number}', port, store, runs, s.POOL, EXECUTOR, f'm-{number}')
        await executor.start()
    for name in ('node-a', 'node-b', 'node-c'):
        nodes.append(s.Node(name, folder, store_port, record=record))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await s.wait_until(lambda: s.find_holder(store, nodes), 20, 'a holder')
    await asyncio.sleep(4)
    client = s.Client(record)
    accepted = {}
    for number in range(JOBS):
        job = f'{0xABC0000000000000 + number:016x}'
        await client.submit(nodes, job, s.make_job(1, WORK_MS, 16_000, 1024))
        accepted[job] = s.now_s()
    await asyncio.sleep(SETTLED_S + 1)
    holder = s.find_holder(store, nodes)
    others = [node for node in nodes if node is not holder]
    asked = []
    async with asyncio.TaskGroup() as group:
        for node in others:
            group.create_task(watch(client, node, asked, s.now_s() + 12))
        await asyncio.sleep(2)
        if s.TROUBLE:
            holder.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(holder.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                await holder.kill()
            await holder.start()
    begun = {}
    for at, _, task, _ in runs.starts:
        begun.setdefault(task.split('.')[0], at)
    wrong = []
    for sent_s, answered_s, name, status, pending in asked:
        if status != 200:
            continue
        waiting = sum(
            1
            for job, at in accepted.items()
            if at + SETTLED_S < sent_s and begun.get(job, float('inf')) > answered_s
        )
        if pending < waiting / 2:
            wrong.append((sent_s, name, pending, waiting))
    record.say(f'{len(asked)} answers, {len(wrong)} of them wrong')
    if wrong:
        spans = {}
        for sent_s, name, _, _ in wrong:
            first, _ = spans.setdefault(name, (sent_s, sent_s))
            spans[name] = (first, sent_s)
        told = {name: f'{last - first:.2f} s' for name, (first, last) in spans.items()}
        _, name, pending, waiting = wrong[0]
        return f'MIXED: {name} gave {pending} as pending, {waiting} jobs waited; wrong for {told}'
    return None


s.run_case(FOLDER, case)
