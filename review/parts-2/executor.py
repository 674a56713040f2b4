"""Stand-in of an executor, as PROTOCOL.md ("Running tasks", "Service discovery") describes it.

One process is one life. What a task does stands in the `spec` of its job, as `name=value` pairs:
`cpu` and `mem` (what it takes), `work_s` (how long it works, 0 for a task that lasts; `work_s_N` for
step N), `startup_s`
(until a task that lasts is at work), `fail_s` (it fails by its own fault after that time) and
`saves` (it has a checkpoint). Everything that it does is printed as a line of JSON.
"""

import argparse
import asyncio
import json
import sys
import time

import httpd

ENDS_PER_ANSWER = 500
MS = 1000


class Run:
    def __init__(self, task, run_id, spec, checkpoint, now_s):
        self.task, self.run_id, self.checkpoint, self.started_s = task, run_id, checkpoint, now_s
        self.facts = dict(part.partition('=')[::2] for part in spec.split(';') if part)
        step = task.split('.')[2]
        self.work_s = float(self.facts.get(f'work_s_{step}', self.facts.get('work_s', 1)))
        self.startup_s = float(self.facts.get('startup_s', 0))
        self.fail_s = float(self.facts.get('fail_s', 0))
        self.cpu, self.mem = int(self.facts.get('cpu', 0)), int(self.facts.get('mem', 0))
        self.saves = 'saves' in self.facts
        self.saved_s = int(checkpoint[:8], 16) / MS if checkpoint else 0.0

    def percent(self, now_s):
        if not self.work_s:
            return 100 if now_s - self.started_s >= self.startup_s else 0
        return min(100, int(100 * self.done_s(now_s) / self.work_s))

    def done_s(self, now_s):
        return self.saved_s + now_s - self.started_s

    def describe_checkpoint(self, now_s):
        if not self.saves:
            return ''
        interval = 0.5
        done_ms = int(int(self.done_s(now_s) / interval) * interval * MS)
        if done_ms:
            self.checkpoint = f'{done_ms:08x}{self.task[:8]}'
        return self.checkpoint


class Executor:
    def __init__(self, options):
        self.options = options
        self.born_ms = int(time.time() * MS)
        self.zero_s = time.monotonic()
        self.runs, self.ended, self.highest = {}, [], {}
        self.end_number = self.fence = self.lease_ms = 0
        self.change = asyncio.Event()
        self.draining = False

    def note(self, what, **facts):
        line = {'at': time.monotonic(), 'executor': self.options.id, 'what': what, **facts}
        sys.stdout.write(json.dumps(line) + '\n')
        sys.stdout.flush()

    def clock_ms(self):
        return int((time.monotonic() - self.zero_s) * MS)

    def answer(self, status, **fields):
        return status, {'clock_ms': self.clock_ms(), 'born': self.born_ms, **fields}

    async def handle(self, method, target, headers, body):
        expected = headers.get('comfreywind-expected-instance', self.options.id)
        if expected != self.options.id:
            return self.answer(421)
        order = json.loads(body or b'{}')
        fence = order.get('fencing_token', 0)
        if fence < self.fence:
            return self.answer(409, reason='fence')
        self.fence = fence
        if target == '/v1/run-start':
            self.note('order', task=order['task_id'], run=order['run_id'])
            # A start takes a little while, as a process has to be made for it.
            await asyncio.sleep(self.options.start_ms / MS)
            if fence < self.fence:
                return self.answer(409, reason='fence')
            return self.start(order)
        if target == '/v1/run-stop':
            self.stop(order)
            return self.answer(200)
        if target == '/v1/hold':
            return await self.hold(order)
        return self.answer(200 if target == '/v1/pace' else 404)

    def extend(self, order):
        if 'expires_ms' in order:
            longest = self.clock_ms() + self.options.hold_max_ms
            self.lease_ms = max(self.lease_ms, min(order['expires_ms'], longest))

    def start(self, order):
        task, run_id, now_s = order['task_id'], order['run_id'], time.monotonic()
        if order['expires_ms'] <= self.clock_ms():
            return self.answer(409, reason='late')
        known = self.runs.get(task)
        if known is not None and known.run_id == run_id:
            return self.answer(200)
        if known is not None or run_id <= self.highest.get(task, 0):
            self.extend(order)
            return self.answer(409, reason='old')
        run = Run(task, run_id, order['spec'], order.get('checkpoint', ''), now_s)
        used_cpu = sum(other.cpu for other in self.runs.values())
        used_mem = sum(other.mem for other in self.runs.values())
        self.extend(order)
        if used_cpu + run.cpu > self.options.cpu or used_mem + run.mem > self.options.mem:
            self.note('refused for room', task=task, run=run_id)
            return self.answer(409, reason='room')
        self.runs[task] = run
        self.note('start', task=task, run=run_id, fence=order.get('fencing_token', 0))
        return self.answer(200)

    def stop(self, order):
        task, run_id = order['task_id'], order['run_id']
        run = self.runs.get(task)
        self.highest[task] = max(self.highest.get(task, 0), run_id)
        if run is not None and run.run_id <= run_id:
            self.end(run, 'stopped')

    def end(self, run, how):
        now_s = time.monotonic()
        self.runs.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run_id)
        self.end_number += 1
        saved = '' if how == 'done' else run.describe_checkpoint(now_s)
        self.ended.append([self.end_number, run.task, run.run_id, how, saved])
        self.note('end', task=run.task, run=run.run_id, how=how, number=self.end_number)
        self.change.set()

    async def hold(self, order):
        self.extend(order)
        seen = order.get('last_seen', 0)
        forgotten = [row for row in self.ended if row[0] <= seen]
        if forgotten:
            self.ended = [row for row in self.ended if row[0] > seen]
            self.note('taken note of', until=seen, count=len(forgotten))
        end_s = time.monotonic() + min(order.get('wait_ms', 0), 2000) / MS
        while not self.ended and time.monotonic() < end_s:
            self.change.clear()
            try:
                await asyncio.wait_for(self.change.wait(), max(0.001, end_s - time.monotonic()))
            except asyncio.TimeoutError:
                break
        now_s = time.monotonic()
        active = [
            [run.task, run.run_id, run.describe_checkpoint(now_s), run.percent(now_s), run.cpu]
            for run in self.runs.values()
        ]
        return self.answer(200, active=active, finished=self.ended[:ENDS_PER_ANSWER])

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            lapsed = self.clock_ms() > self.lease_ms
            for run in list(self.runs.values()):
                if lapsed:
                    self.end(run, 'lapsed')
                elif run.fail_s and now_s - run.started_s >= run.fail_s:
                    self.end(run, 'failed')
                elif run.work_s and run.done_s(now_s) >= run.work_s:
                    self.end(run, 'done')

    def describe(self, sequence):
        options = self.options
        return {
            'service': options.service,
            'address': f'127.0.0.1:{options.port}',
            'zone': 'dc',
            'version': '1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'cold_left_ms': 0,
            'sequence': sequence,
            'capacity': {'cpu': options.cpu, 'mem_mb': options.mem, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'machine': options.machine,
            'born': self.born_ms,
        }

    async def register(self):
        """Report to the store about every `heartbeat_ms`, first `register_ms` after the start."""
        sequence = 0
        await asyncio.sleep(self.options.register_ms / MS)
        while True:
            sequence += 1
            try:
                path = f'/stand-in/servers/{self.options.id}'
                await httpd.call('127.0.0.1', self.options.store, 'PUT', path, self.describe(sequence))
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.options.heartbeat_ms / MS)


async def main(options):
    executor = Executor(options)
    server = await httpd.serve('127.0.0.1', options.port, executor.handle)
    executor.note('life begins', born=executor.born_ms)
    async with server:
        await asyncio.gather(executor.work(), executor.register())


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('--id')
    parser.add_argument('--machine', default='')
    parser.add_argument('--service', default='crossings')
    parser.add_argument('--port', type=int)
    parser.add_argument('--store', type=int)
    parser.add_argument('--cpu', type=int, default=64000)
    parser.add_argument('--mem', type=int, default=262144)
    parser.add_argument('--start-ms', type=float, default=4)
    parser.add_argument('--register-ms', type=float, default=0)
    parser.add_argument('--heartbeat-ms', type=float, default=1500)
    parser.add_argument('--hold-max-ms', type=int, default=6000)
    asyncio.run(main(parser.parse_args()))
