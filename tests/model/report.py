"""Runs the model checker and prints the number of explored states and the results."""

from functools import cache
from typing import Any

from minicheck import Protocol, check_liveness, check_safety


def check_all_states(protocol: Protocol) -> dict[str, Any]:
    """Return whether each invariant holds in all states, and print it."""
    checked = check_safety(protocol)
    holding = {name: found['holds'] for name, found in checked['properties'].items()}
    print(f'{protocol.name}: {checked["reachable_states"]} states, {holding}')
    return holding


def check_goal(protocol: Protocol) -> bool | None:
    """Return whether the goal can be reached from every state, and print it."""
    # The search computes the steps of each state twice.
    protocol.transitions = cache(protocol.transitions)
    checked = check_liveness(protocol)
    print(f'{protocol.name}: {checked.get("reachable_states")} states, goal {checked["holds"]}')
    return checked['holds']


def find_counterexample(protocol: Protocol) -> list[str]:
    """Return the step labels of a shortest violation and print them; empty if there is none.

    The search stops at the first violation.
    """
    violations: list[str] = []
    protocol.invariants = {
        name: _record_violation(name, holds, violations)
        for name, holds in protocol.invariants.items()
    }
    list_steps = protocol.transitions
    protocol.transitions = lambda state: [] if violations else list_steps(state)
    checked = check_safety(protocol)
    for name in violations[:1]:
        trace = checked['properties'][name]['counterexample']
        labels = [str(step['label']) for step in trace[1:]]
        print(f'{protocol.name}: {checked["reachable_states"]} states, "{name}" fails:', labels)
        return labels
    return []


def _record_violation(name: str, holds: Any, violations: list[str]) -> Any:
    def check(state: dict[str, Any]) -> bool:
        if holds(state):
            return True
        violations.append(name)
        return False

    return check
