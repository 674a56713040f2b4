"""The targets of one pool and their estimated load."""

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
class InferredLoad:
    """Load of the peers at a target that rejected a request as full.

    `outstanding` is the number of their requests, `until_s` the monotonic time of its expiry.
    """

    outstanding: int
    until_s: float


class TargetPool:
    """Chooses targets by estimated load and prefers those in the data centre of the entry.

    The estimated load of a target is the number of this entry's outstanding requests there plus
    those of its peers. The peers' number is taken from their reports or inferred from a rejection
    by the target, whichever is higher.
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
        self._own_outstanding: Counter[str] = Counter()
        self._peer_outstanding: Mapping[str, int] = {}
        self._inferred: dict[str, InferredLoad] = {}
        self._free_by_name: dict[str, int] = {}
        self._with_free_slot = (NameSet(), NameSet())
        self._maybe_free = (NameSet(), NameSet())
        self.free_slots = 0

    @property
    def capacity(self) -> int:
        """Return the number of slots of all usable targets."""
        return self._slots * len(self._vms)

    @property
    def may_have_free_slot(self) -> bool:
        """Return whether any target may have a free slot, whatever the peers have reported."""
        return any(len(group) for group in self._maybe_free)

    @property
    def own_outstanding(self) -> dict[str, int]:
        """Return the number of this entry's outstanding requests by target, without zeros."""
        return {name: count for name, count in self._own_outstanding.items() if count}

    def replace_vms(self, vms: Iterable[VmEntry], slots: int) -> None:
        """Set the usable VMs of the pool and the number of slots of each."""
        known = set(self._vms)
        self._vms = {vm.name: vm for vm in vms}
        self._slots = slots
        for name in known | set(self._vms):
            self._update(name)

    def replace_peer_loads(self, outstanding: Mapping[str, int]) -> None:
        """Set the number of outstanding requests of all peers by target."""
        names = self._peer_outstanding.keys() | outstanding.keys()
        changed = [
            name for name in names if self._peer_outstanding.get(name) != outstanding.get(name)
        ]
        self._peer_outstanding = outstanding
        for name in changed:
            self._update(name)

    def choose(self, rule: CapacityRule, ticket: Ticket) -> VmEntry | None:
        """Return a target that the rule and the ticket allow, or None if there is none."""
        is_allowed = partial(self._is_allowed, ticket)
        groups = (
            (*self._with_free_slot, *self._maybe_free)
            if rule is CapacityRule.ANY
            else self._with_free_slot
        )
        for group in groups:
            name = choose_target(group.names, self._compute_weight, is_allowed, self._generator)
            if name is not None:
                return self._vms[name]
        return None

    def choose_random(self, ticket: Ticket) -> VmEntry | None:
        """Return a random target where this entry has fewer requests than slots, or None."""
        names = [
            name for group in self._maybe_free for name in group if self._is_allowed(ticket, name)
        ]
        return self._vms[self._generator.choice(names)] if names else None

    def has_allowed(self, excluded: frozenset[str]) -> bool:
        """Return whether the pool has a target that is not excluded, even if it is full."""
        return len(self._vms) > sum(name in self._vms for name in excluded)

    def add_request(self, name: str) -> None:
        """Count a request that is assigned to the target."""
        self._own_outstanding[name] += 1
        self._update(name)

    def remove_request(self, name: str) -> None:
        """Stop counting a request that has ended at the target."""
        self._own_outstanding[name] -= 1
        self._update(name)

    def record_rejection(self, name: str, full_until_s: float) -> None:
        """Stop counting a rejected request; treat the target as full until `full_until_s`."""
        self._own_outstanding[name] -= 1
        self._inferred[name] = InferredLoad(self._slots - self._own_outstanding[name], full_until_s)
        self._update(name)

    def expire_inferred_loads(self, now_s: float) -> None:
        """Remove the loads inferred from rejections that have expired."""
        expired = [name for name, load in self._inferred.items() if load.until_s <= now_s]
        for name in expired:
            del self._inferred[name]
            self._update(name)

    def _is_allowed(self, ticket: Ticket, name: str) -> bool:
        if name in ticket.excluded_targets:
            return False
        return self._admission.admits(self._vms[name], ticket.idempotent)

    def _compute_weight(self, name: str) -> int:
        return self._estimate_load(name) + self._admission.count_failure_load(self._vms[name])

    def _estimate_load(self, name: str) -> int:
        return self._own_outstanding[name] + max(
            self._peer_outstanding.get(name, 0), self._get_inferred_load(name)
        )

    def _get_inferred_load(self, name: str) -> int:
        inferred = self._inferred.get(name)
        return inferred.outstanding if inferred else 0

    def _update(self, name: str) -> None:
        vm = self._vms.get(name)
        free_slots = max(0, self._slots - self._estimate_load(name)) if vm else 0
        self.free_slots += free_slots - self._free_by_name.pop(name, 0)
        if free_slots:
            self._free_by_name[name] = free_slots
        may_be_free = (
            vm is not None
            and self._own_outstanding[name] + self._get_inferred_load(name) < self._slots
        )
        is_local = vm is not None and vm.data_centre == self._data_centre
        for group, local in zip((0, 1), (True, False), strict=True):
            self._with_free_slot[group].set_member(name, free_slots > 0 and is_local == local)
            self._maybe_free[group].set_member(name, may_be_free and is_local == local)
