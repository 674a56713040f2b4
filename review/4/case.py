"""Orders of a wave get no answer, and one of its executors crashes meanwhile."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins as s  # noqa: E402

EXECUTORS = 8
EXECUTOR = {'cpu': 32_000, 'mem_mb': 131_072, 'gpu': 0}
# cloud_down, how silent.
OUTAGE_S = 5.0
# srv_crash, for_s 1.5, one of 8 executors.
CRASH_S = 1.5
UPKEEP_S = 2.0
WAVE = 3


class Machines:
    """The machines of the platform: their upkeeps, and an outage of the service in between."""

    def __init__(self, cloud, executors, record):
        self._cloud = cloud
        self._executors = executors
        self._record = record
        self.begun = {}
        self.silent = False
        self.outage = None

    async def handle(self, method, target, headers, body):
        if s.TROUBLE and 'upkeep' in target and self.outage is None:
            self.silent = True
            machine = json.loads(body)['machine']
            self.outage = asyncio.get_running_loop().create_task(self._fail(machine))
        if self.silent:
            return None
        return await self._cloud.handle(method, target, headers, body)

    async def _fail(self, machine):
        self.silent = True
        self._record.write('the list of machines and its orders give no answers')
        await asyncio.sleep(1)
        old = self._executors[machine]
        self._record.write(f'executor {old.name} on {machine} crashes')
        entry = self._cloud.machines[machine]
        old.crash()
        entry['state'] = 'down'
        await asyncio.sleep(CRASH_S)
        await self._start_next(old, machine, entry)
        await asyncio.sleep(OUTAGE_S - 1 - CRASH_S)
        self.silent = False
        self._record.write('the list of machines answers again')

    async def _start_next(self, old, machine, entry):
        """Start the next executor of a machine, which has an id of its own."""
        old.unregister()
        new = s.Executor(
            f'{old.name}x', old.port, old.store, old.log, old.service, old.capacity, machine
        )
        await new.start()
        self._executors[machine] = new
        entry['state'] = 'up'
        entry['id'] = new.name
        self._record.write(f'executor {new.name} runs on {machine}')

    async def order(self, path, order, fence):
        machine = order['machine']
        entry = self._cloud.machines.get(machine)
        if machine in self.begun:
            return 200, {}
        if entry is None or path != '/v1/machine-upkeep' or entry['state'] != 'up':
            return 409, {'reason': 'busy'}
        self.begun[machine] = s.now_s()
        entry['state'] = 'upkeep'
        self._executors[machine].crash()
        asyncio.get_running_loop().create_task(self._maintain(machine, entry))
        return 200, {}

    async def _maintain(self, machine, entry):
        await asyncio.sleep(UPKEEP_S)
        await self._start_next(self._executors[machine], machine, entry)


async def case(record, folder, nodes):
    store_port, cloud_port, *ports = s.find_ports(2 + EXECUTORS)
    store = s.Store(store_port)
    await store.server.start()
    cloud = s.Cloud(cloud_port, record)
    runs = s.Runs(record)
    store.put('op', 'config', s.make_config())
    executors = {}
    for number, port in enumerate(ports):
        machine = f'm-{number}'
        executors[machine] = s.Executor(f'i-{number}', port, store, runs, s.POOL, EXECUTOR, machine)
        await executors[machine].start()
        cloud.add(executors[machine])
    machines = Machines(cloud, executors, record)
    cloud.on_order = machines.order
    cloud.server = s.HttpServer(cloud_port, machines.handle)
    await cloud.server.start()
    for name in ('node-a', 'node-b', 'node-c'):
        nodes.append(s.Node(name, folder, store_port, cloud_port, record))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await s.wait_until(lambda: s.find_holder(store, nodes), 20, 'a holder')
    await asyncio.sleep(2)
    wave = {'rollout_wave': WAVE, 'machines': sorted(executors), 'duration_s': 40, 'cap': 2}
    store.put('op', f'wave/{WAVE}', wave)
    record.write(f'the operator asks for wave {wave}')
    until_s = s.now_s() + 60
    while s.now_s() < until_s and b'complete' not in read_status(store):
        await asyncio.sleep(0.1)
    record.say(f'status of the wave: {read_status(store).decode()}')
    missed = [machine for machine in sorted(executors) if machine not in machines.begun]
    await asyncio.sleep(8)
    later = [machine for machine in missed if machine not in machines.begun]
    record.say(f'upkeeps not begun at that time: {missed}; 8 s later: {later}')
    if b'complete' in read_status(store) and missed:
        return f'MIXED: the wave is said to be complete, the upkeep of {missed} has not begun'
    return None


def read_status(store):
    stored = store.rows.get(('status', '', f'wave/{WAVE}'))
    return b'' if stored is None else s.base64.b64decode(stored[0])


s.run_case(FOLDER, case)
