"""Counts the targets of a pool that suspects have to themselves."""

from collections.abc import Iterable

from comfreywind.decisions.scheduling.suspects import compute_isolation_limit
from comfreywind.scheduling.target_record import TargetRecord


class SuspectIsolation:
    """How many more suspects may be started in one pool during one plan."""

    def __init__(self, targets: Iterable[TargetRecord], pool: str, now_s: float) -> None:
        """Count the targets of `pool` that are usable at `now_s`, and those of them with a suspect."""
        in_pool = [target for target in targets if target.entry.pool == pool]
        usable = [target for target in in_pool if target.is_usable(now_s)]
        isolated_count = sum(target.has_open_suspect() for target in usable)
        self._left = compute_isolation_limit(len(usable)) - isolated_count

    def has_room(self) -> bool:
        """Return whether another suspect may be started."""
        return self._left > 0

    def record_start(self) -> None:
        """Count a suspect that was started."""
        self._left -= 1
