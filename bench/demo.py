"""Shows the whole path on loopback: `make demo`."""

import copy
import json
import sys
import time

import click

from bench.caller import CallerReply, call_entry
from bench.fleet import Fleet, wait_until
from bench.fleet_plan import DEFAULT_BUNDLE, FleetPlan


class StepFailedError(Exception):
    """A step of the demo did not go as promised."""


def main() -> int:
    """Run the steps and return the exit status."""
    started_s = time.monotonic()
    click.secho('comfreywind demo: 3 entries, 4 executors, 1 platform stand-in', bold=True)
    try:
        with Fleet(FleetPlan()) as fleet:
            run_steps(fleet)
    except (StepFailedError, TimeoutError) as error:
        click.secho(f'  failed: {error}', fg='red')
        return 1
    click.secho(f'All steps as promised, in {time.monotonic() - started_s:.1f} s.', fg='green')
    return 0


def run_steps(fleet: Fleet) -> None:
    """Run each step; raise StepFailedError at the first that is not as promised."""
    key = fleet.keys['timetables']
    first, second, third = fleet.caller_addresses

    reply = call_entry(first, '/queues/rebuild/work?duration_s=0.05', key)
    expect(reply, 200, 'answered', 'A request with a key is answered by a target')
    click.echo(f'      {json.loads(reply.body.splitlines()[0])}')

    reply = call_entry(second, '/queues/rebuild/work', 'cfw_000000_wrong')
    expect(reply, 401, 'not-run', 'A wrong key is refused and nothing runs')

    reply = call_entry(third, '/queues/notices/work')
    expect(reply, 200, 'answered', 'A queue open to all needs no key')

    fleet.call_operator('DELETE', f'/v1/keys/{key.split("_")[1]}')
    withdrawn_s = time.monotonic()
    wait_for_status(fleet, '/queues/rebuild/work', key, 401)
    click.echo(f'      withdrawn everywhere after {time.monotonic() - withdrawn_s:.2f} s')
    expect(call_entry(third, '/queues/rebuild/work', key), 401, 'not-run', 'A withdrawn key stops')

    bundle = copy.deepcopy(DEFAULT_BUNDLE)
    bundle['queues']['departures'] = {'pool': 'crossings', 'teams': ['rosters']}
    fleet.roll_out(2, bundle)
    rolled_out_s = time.monotonic()
    rosters_key = fleet.keys['rosters']
    wait_for_status(fleet, '/queues/departures/work', rosters_key, 200)
    click.echo(f'      in force everywhere after {time.monotonic() - rolled_out_s:.2f} s')
    reply = call_entry(first, '/queues/departures/work', rosters_key)
    expect(reply, 200, 'answered', 'A new bundle version adds a queue')


def wait_for_status(fleet: Fleet, path: str, key: str, status: int) -> None:
    """Wait until every entry answers the request with the status."""

    def all_entries_answer() -> bool:
        return all(
            call_entry(address, path, key).status == status for address in fleet.caller_addresses
        )

    wait_until(all_entries_answer, f'status {status} for {path} on every entry')


def expect(reply: CallerReply, status: int, outcome: str, promise: str) -> None:
    """Print the step; raise StepFailedError when status or outcome differ."""
    if reply.status != status or reply.outcome != outcome:
        raise StepFailedError(f'{promise}: got {reply.status} {reply.outcome} {reply.body!r}')
    click.echo(f'  ok  {promise} ({reply.status}, {outcome})')


if __name__ == '__main__':
    sys.exit(main())
