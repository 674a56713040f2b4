"""Keeps the session and the units of this entry in memory."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from comfreywind.clock import Clock
from comfreywind.decisions.portions.guard import (
    SessionState,
    is_committed,
    is_session_valid,
)
from comfreywind.decisions.portions.guard_step import apply_session_event
from comfreywind.decisions.portions.ledger import Ledger
from comfreywind.decisions.portions.ledger_changes import (
    apply_row,
    count_held_units,
    is_blocked,
    list_flows_with,
)
from comfreywind.decisions.portions.session_effects import SessionEffect
from comfreywind.decisions.portions.session_events import FenceObserved, SessionEvent
from comfreywind.decisions.portions.totals import NumberMap, sum_numbers
from comfreywind.entry.portions.portion_codec import make_resource, parse_team
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.entry.rules_view import RulesView

NO_SESSION_S = -1.0
WakeTeam = Callable[[str], None]


class PortionBook:
    """Holds the session state, the ledgers and the counts of units in use.

    All methods are synchronous, so that no other task runs in the middle of a change. The public
    maps have the team as key. `used` counts the units in use by work of this incarnation, `orphaned`
    those in use by work of earlier ones, and `waiting` the requests that wait for a unit.
    `peer_requests` has the free units to allocate for a peer, and the monotonic time until which
    they are needed. When `leaving` is set, this entry starts no work and exchanges no units.
    """

    def __init__(self, view: PortionView, rules_view: RulesView, clock: Clock) -> None:
        """Start without a session; `join` sets `session_state`."""
        self._view = view
        self._rules_view = rules_view
        self._clock = clock
        self._ledgers: dict[str, Ledger] = {}
        self._held: dict[str, int] = {}
        self._wake_functions: list[WakeTeam] = []
        self.session_state: SessionState | None = None
        self.leaving = False
        self.used: Counter[str] = Counter()
        self.orphaned: Counter[str] = Counter()
        self.peer_requests: dict[str, tuple[int, float]] = {}
        self.waiting: defaultdict[str, int] = defaultdict(int)

    @property
    def holder(self) -> str:
        """Return the holder name of this incarnation, empty before this entry has joined."""
        return self.session_state.holder if self.session_state else ''

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Call the function with a team's name when waiting work of the team may be able to start."""
        self._wake_functions.append(wake_team)

    def wake(self, teams: Iterable[str]) -> None:
        """Notify the subscribers that work of the teams may be able to start."""
        for team in teams:
            for wake_team in self._wake_functions:
                wake_team(team)

    def join(self, session_state: SessionState) -> None:
        """Start as a new incarnation that holds no units.

        Work that the earlier incarnation started continues. Its units become free only when the
        wait for their reclaim ends, and don't count as used here. The promises and agreements of
        this process stay valid.
        """
        former = self.session_state
        self.session_state = session_state
        if former is not None:
            self.session_state = replace(
                session_state, granted=former.granted, commitments=former.commitments
            )
        self.orphaned.update(self.used)
        self.used.clear()
        self._ledgers.clear()
        self._held.clear()
        for resource in self._view.portions:
            self.refresh_ledger(resource)

    def apply(self, event: SessionEvent) -> tuple[SessionEffect, ...]:
        """Apply the event to the session state and return its effects, none before the join."""
        if self.session_state is None:
            return ()
        session_state, effects = apply_session_event(event, self.session_state)
        self.session_state = session_state
        return effects

    def mark_fenced(self) -> None:
        """Record that this incarnation was fenced, which ends its session for good."""
        self.apply(FenceObserved())

    def is_joined(self) -> bool:
        """Return whether this entry is a member that, as far as it knows, is not fenced."""
        return self.session_state is not None and not self.session_state.fenced

    def is_valid(self) -> bool:
        """Return whether work may start and units may be exchanged."""
        if self.session_state is None or self.leaving:
            return False
        return is_session_valid(self.session_state, self._clock.read_monotonic_s())

    def read_session_left_s(self) -> float:
        """Return the seconds until the session ends, negative without a valid session."""
        if self.session_state is None or self.session_state.fenced:
            return NO_SESSION_S
        return self.session_state.valid_until_s - self._clock.read_monotonic_s()

    def may_exchange_with(self, holder: str) -> bool:
        """Return whether units may be given to the holder and received from it."""
        return (
            self.session_state is not None
            and self.is_valid()
            and not is_committed(self.session_state, holder)
        )

    def try_acquire_unit(self, team: str) -> bool:
        """Mark one idle unit of the team as used; return False if there is none or no work may start."""
        if not self.is_valid() or self.is_blocked(team) or self.count_idle(team) <= 0:
            return False
        self.used[team] += 1
        return True

    def release_unit(self, team: str) -> None:
        """Mark one unit as idle.

        Which incarnation the unit belongs to is not known, so those of earlier ones are freed first.
        """
        if self.orphaned[team] > 0:
            self.orphaned[team] -= 1
            return
        self.used[team] -= 1

    def is_blocked(self, team: str) -> bool:
        """Return whether no work of the team may start because its ceiling was lowered.

        A team that the rules don't contain is blocked as well.
        """
        rules = self._rules_view.rules
        if rules is None or team not in rules.teams:
            return True
        ledger = self.get_ledger(make_resource(team))
        return is_blocked(ledger, rules.teams[team].ceiling_units, rules.version)

    def count_held(self, team: str) -> int:
        """Return the units of the team that this entry holds."""
        return self._held.get(team, 0)

    def count_idle(self, team: str) -> int:
        """Return the units of the team that no work uses, negative if more are used than held."""
        return self._held.get(team, 0) - self.used[team]

    def count_wanted(self, team: str) -> int:
        """Return the free units that this entry needs from the portion row.

        They include those for a peer that asked for units, as it may be cut off from the store.
        """
        own_units = max(0, self.waiting.get(team, 0) - max(0, self.count_idle(team)))
        peer_units, until_s = self.peer_requests.get(team, (0, 0))
        if self._clock.read_monotonic_s() >= until_s:
            return own_units
        return own_units + peer_units

    def count_demand(self, team: str) -> int:
        """Return the units that running and waiting requests of the team need here."""
        return self.used[team] + self.waiting[team]

    def get_ledger(self, resource: str) -> Ledger:
        """Return the ledger of the resource, or a new one with the newest known row."""
        ledger = self._ledgers.get(resource)
        if ledger is not None:
            return ledger
        version, row = self._view.read_portion(resource)
        return apply_row(Ledger(self.holder), row, version)

    def set_ledger(self, resource: str, ledger: Ledger) -> None:
        """Store the ledger and update the count of held units."""
        self._ledgers[resource] = ledger
        self._held[parse_team(resource)] = count_held_units(ledger)

    def refresh_ledger(self, resource: str) -> bool:
        """Apply the newest known row; return whether this may let waiting work of the team start."""
        if self.session_state is None:
            return False
        team = parse_team(resource)
        version, row = self._view.read_portion(resource)
        ledger = self.get_ledger(resource)
        held_before = self._held.get(team, 0)
        blocked_before = self.is_blocked(team)
        self.set_ledger(resource, apply_row(ledger, row, version))
        is_unblocked = blocked_before and not self.is_blocked(team)
        return is_unblocked or self._held[team] > held_before

    def list_flows_with(self, holder: str) -> tuple[tuple[str, NumberMap], ...]:
        """Return all flows between this entry and the holder, by resource."""
        flows = [
            (resource, list_flows_with(ledger, holder))
            for resource, ledger in sorted(self._ledgers.items())
        ]
        return tuple((resource, totals) for resource, totals in flows if totals)

    def count_transferred(self, resource: str) -> int:
        """Return the sum of all units given and received, which changes with every transfer."""
        ledger = self._ledgers.get(resource)
        return sum_numbers(ledger.given) + sum_numbers(ledger.received) if ledger else 0

    def list_resources(self) -> list[str]:
        """Return the resources with a ledger."""
        return sorted(self._ledgers)
