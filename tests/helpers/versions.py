"""Bundle versions that can be told apart by a caller."""

import copy
import json
import time
from typing import Any

from bench.caller import call_entry
from bench.fleet import Fleet, wait_until
from bench.fleet_plan import DEFAULT_BUNDLE

# Invariant 10 and the target size in docs/design.md section 1.
IN_FORCE_S = 6.0


def make_bundle(version: int) -> dict[str, Any]:
    """Return a bundle with an open queue named after its version."""
    bundle = copy.deepcopy(DEFAULT_BUNDLE)
    bundle['queues'][f'v{version}'] = {'pool': 'crossings', 'open': True, 'open_team': 'public'}
    return bundle


def read_problem(fleet: Fleet, entry: int, path: str, key: str = '') -> str:
    """Return the reason of the refusal, or `answered`."""
    reply = call_entry(fleet.caller_addresses[entry], path, key)
    if reply.outcome == 'answered':
        return 'answered'
    return str(json.loads(reply.body)['type']).rpartition(':')[2]


def obeys_version(fleet: Fleet, entry: int, version: int, old_version: int) -> bool:
    """Return whether the entry serves by the version and not by the old one."""
    return (
        read_problem(fleet, entry, f'/queues/v{version}/work') == 'answered'
        and read_problem(fleet, entry, f'/queues/v{old_version}/work') == 'queue-unknown'
    )


def wait_in_force(
    fleet: Fleet, version: int, old_version: int, timeout_s: float = IN_FORCE_S
) -> float:
    """Wait until every entry obeys the version; return for how many seconds."""
    started_s = time.monotonic()
    for entry in range(fleet.plan.entries_count):
        left_s = started_s + timeout_s - time.monotonic()
        wait_until(
            lambda: obeys_version(fleet, entry, version, old_version),
            f'version {version} on entry {entry}',
            left_s,
        )
    return time.monotonic() - started_s


def wait_withdrawn(fleet: Fleet, key: str, timeout_s: float = IN_FORCE_S) -> None:
    """Wait until every entry refuses the key."""
    started_s = time.monotonic()
    for entry in range(fleet.plan.entries_count):
        left_s = started_s + timeout_s - time.monotonic()
        wait_until(
            lambda: read_problem(fleet, entry, '/queues/rebuild/work', key) == 'key-unknown',
            f'the withdrawal on entry {entry}',
            left_s,
        )


def withdraw_key(fleet: Fleet, key: str, entry: int = 0) -> Any:
    """Withdraw a key and return the operator's reply."""
    return fleet.call_operator('DELETE', f'/v1/keys/{key.split("_")[1]}', entry=entry)
