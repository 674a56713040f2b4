"""An order of a holder that was cut off reaches a machine after those of its successor (ONE)."""

import sys
import time

import trio

from links import Link, Machine
from rig import run_case

NODES = ('edge-1', 'edge-2', 'edge-3')
MACHINES = 8
WAVE = 1
CUT_S = 10.0
WAVE_S = 27
CAP = 2


def has_stale_order(orders):
    """Return the machines for which an order with a lower token came after one with a higher."""
    highest, stale = {}, []
    for _, machine, holder, token in orders:
        if token < highest.get(machine, 0):
            stale.append((machine, holder, token, highest[machine]))
        highest[machine] = max(token, highest.get(machine, 0))
    return stale


async def play(fleet, record, trouble):
    cut = []

    def see_bytes(machine, data):
        """Cut a machine off as its first order for a machine of the wave is on its way."""
        if trouble and not cut and b'/v1/machine-upkeep' in data:
            cut.append(machine)
            machine.set_cut(True)
            record.note(f'DISRUPTION: {machine.name} is cut off from the platform for {CUT_S} s')
            fleet.nursery.start_soon(mend, machine)

    async def mend(machine):
        await trio.sleep(CUT_S)
        record.note(f'the cut of {machine.name} ends')
        machine.set_cut(False)

    for number in range(MACHINES):
        fleet.add_machine(f'm-{number}', f'r1-{number // 4}')
    for number, name in enumerate(NODES):
        machine = Machine(name, see_bytes)
        ip = f'{fleet.net}.{20 + number}'
        links = [Link(machine, ip, fleet.store_address), Link(machine, ip, fleet.cloud_address)]
        for link in links:
            fleet.nursery.start_soon(link.serve)
        fleet.start_node(name, links[0].address, links[1].address)
    await fleet.wait_until_ready()
    await trio.sleep(8)
    record.note(f'the holder is {fleet.find_holder()}')
    wave = {'rollout_wave': WAVE, 'machines': [f'm-{n}' for n in range(4)], 'duration_s': WAVE_S, 'cap': CAP}
    fleet.store.write_document('op', f'wave/{WAVE}', wave)
    record.note(f'operator: writes {wave}')
    end_s = time.monotonic() + 24
    while time.monotonic() < end_s:
        await trio.sleep(0.5)
    if trouble and not cut:
        raise RuntimeError('no order was seen')
    stale = has_stale_order(fleet.orders)
    for machine, holder, token, highest in stale:
        record.note(f'{machine}: order of {holder} with token {token} after one with token {highest}')
    record.note(f'the holder is {fleet.find_holder()}; {len(fleet.orders)} orders, {len(stale)} stale')
    return bool(stale)


run_case(play, sys.argv[1])
