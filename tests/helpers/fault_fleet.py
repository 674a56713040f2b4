"""A fleet that runs every executor in its own process, so that each can fail independently."""

import json
import uuid
from typing import Any

from bench.caller import CallerReply, call_entry
from bench.fleet import Fleet
from bench.fleet_plan import DEFAULT_BUNDLE, FleetPlan

TEAM = 'rosters'
CEILING_UNITS = 16
EXECUTORS = {'solo': 1, 'pair': 2, 'crossings': 4}
FIRST_VM = {'solo': 0, 'pair': 1, 'crossings': 3}


def make_fault_plan(entries_count: int = 1, **changes: Any) -> FleetPlan:
    """Return a plan with pools of 1, 2 and 4 executors, each with a queue of the same name."""
    pools = {name: {'max_run_s': 8, 'minimum_available_ratio': 0} for name in EXECUTORS}
    bundle = {
        'teams': {
            TEAM: {'weight': 1, 'ceiling_units': CEILING_UNITS},
            'public': {'weight': 1, 'ceiling_units': 4},
        },
        'pools': {**pools, 'reserve': DEFAULT_BUNDLE['pools']['reserve']},
        'queues': {name: {'pool': name, 'teams': [TEAM, 'public']} for name in EXECUTORS},
    }
    return FleetPlan(
        entries_count=entries_count,
        executors_by_pool=dict(EXECUTORS),
        target_processes=sum(EXECUTORS.values()),
        bundle=bundle,
        **changes,
    )


class FaultFleet(Fleet):
    """Adds requests to the queues of the plan, counts of their runs and faults of whole pools."""

    def call(
        self, queue: str, method: str = 'GET', query: str = '', entry: int = 0, **headers: str
    ) -> CallerReply:
        """Send one request to a queue with the team's key.

        Underscores in the names of headers are sent as hyphens.
        """
        names = {name.replace('_', '-'): text for name, text in headers.items()}
        names.setdefault('x-request-id', uuid.uuid4().hex)
        path = f'/queues/{queue}/work?{query}'
        return call_entry(
            self.caller_addresses[entry], path, self.keys[TEAM], method, headers=names
        )

    def count_runs(self, pool: str, request_id: str) -> int:
        """Return how often the executors of the pool have run the request."""
        logs = [self.read_run_log(index) for index in self.list_vms(pool)]
        return sum(log['runs'].get(request_id, 0) for log in logs)

    def count_running(self, pool: str) -> int:
        """Return how many requests of the team are running in the pool."""
        return sum(self.read_run_log(vm)['running'].get(TEAM, 0) for vm in self.list_vms(pool))

    def list_vms(self, pool: str) -> range:
        """Return the indexes of the pool's VMs and of their executor processes."""
        return range(FIRST_VM[pool], FIRST_VM[pool] + EXECUTORS[pool])

    def set_pool_faults(self, pool: str, **faults: object) -> None:
        """Replace the faults of every executor of the pool."""
        for vm in self.list_vms(pool):
            self.set_target_faults(vm, **faults)


def read_problem(reply: CallerReply) -> str:
    """Return the reason of a refusal: the last part of its problem type."""
    return str(json.loads(reply.body)['type']).rpartition(':')[2]
