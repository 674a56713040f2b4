"""The targets of one pool and their load as far as it is known."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from comfreywind.decisions.room_rule import CapacityRule
from comfreywind.decisions.target_choice import choose_target
from comfreywind.entry.name_set import NameSet
from comfreywind.entry.target_admission import TargetAdmission
from comfreywind.entry.ticket import Ticket
from comfreywind.platform.vm_entry import VmEntry


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """Requests of peers at a target that stated that it is full, and how long that counts."""

    outstanding: int
    until_s: float


class TargetPool:
    """Chooses targets by known load, the same data centre first.

    The known load of a target is what this entry has outstanding there and what its peers have
    according to their reports or, when that is more, to the target's refusal of a request.
    """

    def __init__(
        self, data_centre: str, admission: TargetAdmission, generator: random.Random
    ) -> None:
        """Start without targets."""
        self._admission = admission
        self._data_centre = data_centre
        self._generator = generator
        self._slots = 0
        self._vms: dict[str, VmEntry] = {}
        self._own: Counter[str] = Counter()
        self._peers: Mapping[str, int] = {}
        self._stated: dict[str, StatedLoad] = {}
        self._free_by_name: dict[str, int] = {}
        self._with_room = (NameSet(), NameSet())
        self._open = (NameSet(), NameSet())
        self.free_slots = 0

    @property
    def capacity(self) -> int:
        """Return the number of slots of all usable targets."""
        return self._slots * len(self._vms)

    @property
    def has_open(self) -> bool:
        """Return whether some target may have a free slot."""
        return any(len(group) for group in self._open)

    @property
    def own_outstanding(self) -> dict[str, int]:
        """Return the requests that this entry has at each target."""
        return {name: count for name, count in self._own.items() if count}

    def replace_vms(self, vms: Iterable[VmEntry], slots: int) -> None:
        """Take the usable VMs of the pool and the number of slots of each."""
        known = set(self._vms)
        self._vms = {vm.name: vm for vm in vms}
        self._slots = slots
        for name in known | set(self._vms):
            self._update(name)

    def replace_peer_loads(self, outstanding: Mapping[str, int]) -> None:
        """Take the requests of all peers at each target."""
        names = self._peers.keys() | outstanding.keys()
        changed = [name for name in names if self._peers.get(name) != outstanding.get(name)]
        self._peers = outstanding
        for name in changed:
            self._update(name)

    def choose(self, rule: CapacityRule, ticket: Ticket) -> VmEntry | None:
        """Return a target that the rule and the ticket allow, or None."""
        is_allowed = partial(self._is_allowed, ticket)
        groups = (*self._with_room, *self._open) if rule is CapacityRule.ANY else self._with_room
        for group in groups:
            name = choose_target(group.names, self._read_weight, is_allowed, self._generator)
            if name is not None:
                return self._vms[name]
        return None

    def choose_blindly(self, ticket: Ticket) -> VmEntry | None:
        """Return any target to which this entry has less outstanding than its slots, or None."""
        names = [name for group in self._open for name in group if self._is_allowed(ticket, name)]
        return self._vms[self._generator.choice(names)] if names else None

    def has_allowed(self, excluded: frozenset[str]) -> bool:
        """Return whether the pool has a target that is not excluded, busy or not."""
        return len(self._vms) > sum(name in self._vms for name in excluded)

    def take(self, name: str) -> None:
        """Count a request sent to the target."""
        self._own[name] += 1
        self._update(name)

    def free(self, name: str) -> None:
        """Count the end of a request at the target."""
        self._own[name] -= 1
        self._update(name)

    def undo_take(self, name: str, full_until_s: float) -> None:
        """Count a request as not sent, because the target stated that it is full."""
        self._own[name] -= 1
        self._stated[name] = StatedLoad(self._slots - self._own[name], full_until_s)
        self._update(name)

    def expire_statements(self, now_s: float) -> None:
        """Forget which targets were full some time ago."""
        expired = [name for name, stated in self._stated.items() if stated.until_s <= now_s]
        for name in expired:
            del self._stated[name]
            self._update(name)

    def _is_allowed(self, ticket: Ticket, name: str) -> bool:
        if name in ticket.excluded_targets:
            return False
        return self._admission.admits(self._vms[name], ticket.idempotent)

    def _read_weight(self, name: str) -> int:
        return self._read_load(name) + self._admission.count_failure_load(self._vms[name])

    def _read_load(self, name: str) -> int:
        return self._own[name] + max(self._peers.get(name, 0), self._read_stated(name))

    def _read_stated(self, name: str) -> int:
        stated = self._stated.get(name)
        return stated.outstanding if stated else 0

    def _update(self, name: str) -> None:
        vm = self._vms.get(name)
        free = max(0, self._slots - self._read_load(name)) if vm else 0
        self.free_slots += free - self._free_by_name.pop(name, 0)
        if free:
            self._free_by_name[name] = free
        is_open = vm is not None and self._own[name] + self._read_stated(name) < self._slots
        is_local = vm is not None and vm.data_centre == self._data_centre
        for group, local in zip((0, 1), (True, False), strict=True):
            self._with_room[group].set_member(name, free > 0 and is_local == local)
            self._open[group].set_member(name, is_open and is_local == local)
