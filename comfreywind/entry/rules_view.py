"""The rules and keys known to this entry, and how fresh they are."""

from collections.abc import Callable

from comfreywind.bundle.rules import Rules
from comfreywind.clock import Clock
from comfreywind.decisions.freshness import is_fresh
from comfreywind.decisions.keys import TeamKey
from comfreywind.decisions.row_digest import update_digest
from comfreywind.decisions.versions import is_newer_key, is_newer_version
from comfreywind.peers.messages.bundle_offer import BundleOffer


class RulesView:
    """Holds the newest known rules and keys; an older version never replaces a newer one.

    `accepted_version` is the highest bundle version known to be accepted, even if its content has
    not been read yet. `sequence` is the sequence number of the last read of the change feed.
    `view_sequence` is the sequence number up to which rules, keys and VM rows are known, from the
    store or from peers.
    """

    def __init__(self, clock: Clock, fresh_s: float) -> None:
        """Start without rules; the view is fresh for `fresh_s` after it was last confirmed."""
        self._clock = clock
        self._fresh_s = fresh_s
        self._store_read_s: float | None = None
        self._read_attempted_s: float | None = None
        self._confirmed_s: float | None = None
        self.rules: Rules | None = None
        self.offer: BundleOffer | None = None
        self.accepted_version = 0
        self.keys: dict[str, TeamKey] = {}
        self.keys_digest = 0
        self.sequence = 0
        self.view_sequence = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call `receive_change` each time new rules are in force."""
        self._listeners.append(receive_change)

    def read_version(self) -> int:
        """Return the bundle version in force, or 0 before the first one."""
        return self.rules.version if self.rules else 0

    def require_rules(self) -> Rules:
        """Return the rules in force; raise RuntimeError before the first version."""
        if self.rules is None:
            raise RuntimeError('no bundle version is in force here')
        return self.rules

    def apply_rules(self, rules: Rules, offer: BundleOffer | None = None) -> bool:
        """Put the rules into force if their version is higher, and return whether it is."""
        if not is_newer_version(self.read_version(), rules.version):
            return False
        self.rules = rules
        self.offer = offer
        self.record_accepted_version(rules.version)
        for receive_change in self._listeners:
            receive_change()
        return True

    def record_accepted_version(self, version: int) -> None:
        """Record that a version is accepted, even if its content is not known here."""
        self.accepted_version = max(self.accepted_version, version)

    def apply_key(self, key: TeamKey) -> bool:
        """Apply the key if its row version is higher than the known one, and return whether so."""
        known_key = self.keys.get(key.key_id)
        if not is_newer_key(known_key, key):
            return False
        known_version = known_key.row_version if known_key else 0
        self.keys_digest = update_digest(
            self.keys_digest, key.key_id, known_version, key.row_version
        )
        self.keys[key.key_id] = key
        return True

    def record_store_read(self, at_s: float) -> None:
        """Record that the store was read, and the view complete, at this monotonic time."""
        if self._store_read_s is None or at_s > self._store_read_s:
            self._store_read_s = at_s
        self.record_read_attempt(at_s)
        self.view_sequence = max(self.view_sequence, self.sequence)
        self.record_peer_confirmation(at_s)

    def record_read_attempt(self, at_s: float) -> None:
        """Record that an attempt to read the store had ended by this monotonic time."""
        if self._read_attempted_s is None or at_s > self._read_attempted_s:
            self._read_attempted_s = at_s

    def record_peer_confirmation(self, at_s: float) -> None:
        """Record that the view was complete at this monotonic time, by the reports of peers."""
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s

    def is_cold(self) -> bool:
        """Return whether the view has never been confirmed."""
        return self._confirmed_s is None

    def read_store_age_s(self) -> float:
        """Return the seconds since the last read of the store, infinity before the first."""
        return self._compute_age_s(self._store_read_s)

    def read_attempt_age_s(self) -> float:
        """Return the seconds since the last finished attempt to read the store, failed or not."""
        return self._compute_age_s(self._read_attempted_s)

    def read_age_s(self) -> float:
        """Return the seconds since the view was last confirmed, infinity before the first time."""
        return self._compute_age_s(self._confirmed_s)

    def read_fresh_left_s(self) -> float:
        """Return for how many seconds the view stays fresh; negative if it is stale."""
        return self._fresh_s - self.read_age_s()

    def is_fresh(self) -> bool:
        """Return whether the view is recent enough to serve requests from."""
        return is_fresh(self._clock.read_monotonic_s(), self._confirmed_s, self._fresh_s)

    def _compute_age_s(self, at_s: float | None) -> float:
        return float('inf') if at_s is None else self._clock.read_monotonic_s() - at_s
