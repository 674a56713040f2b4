"""Cost of dividing the pools every 250 ms: `python -m bench.experiments.plan_cost`.

One entry at the target size with 8 peers that report the same load as it has itself.
"""

import time

import click
import trio

from comfreywind.bundle.parse import make_rules, parse_bundle
from comfreywind.clock import SystemClock
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.even_split_units import EvenSplitUnits
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.ticket import Ticket
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address

POOLS = 56
TEAMS = 63
VMS = 7100
PEERS = 8
REPORTS_PER_S = 4
RUNNING_PER_TEAM = 3
REPETITIONS = 20
HOUR_S = 3600


class PlannedEntry:
    """A dispatcher with its rules and its fleet."""

    def __init__(self) -> None:
        """Load the rules and the fleet."""
        clock = SystemClock()
        self._clock = clock
        self._rules_view = RulesView(clock, HOUR_S)
        self._fleet_view = FleetView()
        units = EvenSplitUnits(self._rules_view, 1)
        self.dispatcher = Dispatcher(
            self._rules_view, self._fleet_view, units, clock, entry_name='entry-0'
        )
        teams = [f'team-{index}' for index in range(TEAMS)]
        pools = [f'pool-{index}' for index in range(POOLS)]
        bundle = {
            'teams': {name: {'ceiling_units': 100_000} for name in teams},
            'pools': {name: {} for name in pools},
            'queues': {name: {'pool': name, 'teams': teams} for name in pools},
        }
        address = Address('127.0.0.1', 1)
        self._fleet_view.apply_vm_list(
            VmEntry(f'vm-{index}', address, 'dc-1', 'rack', pools[index % POOLS], 'live', 1)
            for index in range(VMS)
        )
        self._rules_view.apply_rules(make_rules(parse_bundle(bundle, 'bench'), 1))

    async def start_requests(self, pools: int, teams: int) -> None:
        """Let some teams run requests in some pools."""
        rules = self._rules_view.rules
        if rules is None:
            raise RuntimeError('the bundle was not applied')
        deadline_s = self._clock.read_monotonic_s() + HOUR_S
        for pool in range(pools):
            for team in range(teams):
                ticket = Ticket('', rules.queues[f'pool-{pool}'], f'team-{team}', deadline_s)
                for _ in range(RUNNING_PER_TEAM):
                    await self.dispatcher.acquire(ticket)

    def measure_plan_s(self) -> float:
        """Return the processor time of one report and one division of all pools."""
        report = self.dispatcher.make_report()
        reports = {f'entry-{index + 1}': report for index in range(PEERS)}
        self.dispatcher.apply_reports(reports)
        started_s = time.process_time()
        for _ in range(REPETITIONS):
            self.dispatcher.make_report()
            self.dispatcher.apply_reports(reports)
        return (time.process_time() - started_s) / REPETITIONS

    def measure_frame_bytes(self) -> int:
        """Return the size of a report on the wire."""
        return len(MessageCodec().encode(self.dispatcher.make_report()))


@click.command()
def main() -> None:
    """Print the costs with different numbers of busy pools and teams."""
    for pools, teams in ((0, 0), (POOLS, 1), (20, 6), (POOLS, TEAMS)):
        entry = PlannedEntry()
        trio.run(entry.start_requests, pools, teams)
        plan_s = entry.measure_plan_s()
        frame_bytes = entry.measure_frame_bytes()
        click.echo(
            f'{pools} pools with {teams} busy teams each: {plan_s * 1000:.2f} ms, '
            f'{plan_s * REPORTS_PER_S:.1%} of a core, {frame_bytes} bytes a report, '
            f'{frame_bytes * REPORTS_PER_S * PEERS / 1000:.1f} KB/s to {PEERS} peers'
        )


if __name__ == '__main__':
    main()
