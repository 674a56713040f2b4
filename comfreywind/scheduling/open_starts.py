"""The start orders without a reply, by task."""

from collections.abc import Callable

import trio

from comfreywind.decisions.scheduling.open_start import OpenStart
from comfreywind.jobs.task_key import TaskKey

# A start that gets no reply for this time is stored, long before its reply is overdue: the holder may
# be lost meanwhile. Targets usually reply within milliseconds.
STORE_AFTER_S = 0.2


class OpenStarts:
    """Records which targets may still carry out a start order of a task."""

    def __init__(self, lease_limit_s: float) -> None:
        """Start without open starts; `lease_limit_s` is the longest lease that targets grant."""
        self._lease_limit_s = lease_limit_s
        self.by_key: dict[TaskKey, OpenStart] = {}
        self._in_flight: dict[tuple[TaskKey, int], tuple[str, float]] = {}
        self._added = trio.Event()

    def add(self, key: TaskKey, target_id: str, run_id: int, sent_s: float) -> None:
        """Record that there is no reply to a start order, sent at `sent_s` or before."""
        known = self.by_key.get(key)
        if known is None or known.target_id != target_id:
            known = OpenStart(target_id, sent_s, sent_s)
            self.by_key[key] = known
        known.run_ids.add(run_id)
        known.sent_s = max(known.sent_s, sent_s)
        self._added.set()

    async def wait_for_addition(self) -> None:
        """Return when an order was added since the last call."""
        await self._added.wait()
        self._added = trio.Event()

    def record_sent(self, key: TaskKey, target_id: str, run_id: int, sent_s: float) -> None:
        """Record that an order is being sent, until `record_returned`."""
        self._in_flight[key, run_id] = (target_id, sent_s)

    def record_returned(self, key: TaskKey, run_id: int) -> None:
        """Record that the call of an order has returned, with a reply or without."""
        self._in_flight.pop((key, run_id), None)

    def list_to_store(self, now_s: float) -> dict[TaskKey, OpenStart]:
        """Return what the next holder has to know: open starts, and those that wait for a reply."""
        to_store = dict(self.by_key)
        for (key, run_id), (target_id, sent_s) in self._in_flight.items():
            known = to_store.get(key)
            if now_s - sent_s >= STORE_AFTER_S and (known is None or known.target_id == target_id):
                run_ids = {run_id} if known is None else known.run_ids | {run_id}
                to_store[key] = OpenStart(target_id, sent_s, sent_s, run_ids)
        return to_store

    def extend(self, key: TaskKey, run_id: int, sent_s: float) -> None:
        """Record that an order that is open already was sent as late as that."""
        known = self.by_key.get(key)
        if known is not None and run_id in known.run_ids:
            known.sent_s = max(known.sent_s, sent_s)

    def close(self, key: TaskKey, run_id: int) -> None:
        """Record that it is known what became of an order."""
        known = self.by_key.get(key)
        if known is None:
            return
        known.run_ids.discard(run_id)
        if not known.run_ids:
            del self.by_key[key]

    def drop_expired(self, now_s: float) -> None:
        """Forget the orders that can't take effect any more."""
        self._drop(lambda known: not known.is_open(now_s, self._lease_limit_s))

    def note_silence(self, target_id: str, now_s: float) -> None:
        """Record that a target has stopped replying."""
        for known in self.by_key.values():
            if known.target_id == target_id:
                known.silent_s = now_s

    def settle(self, target_id: str, requested_s: float) -> None:
        """Close the orders of which a complete report of a target tells that it has no run."""
        self._drop(lambda known: known.target_id == target_id and known.is_settled_by(requested_s))

    def list_targets(self) -> set[str]:
        """Return the targets that may still carry out an order."""
        return {known.target_id for known in self.by_key.values()}

    def close_target(self, target_id: str) -> None:
        """Close the orders to a target that will not start again under its id."""
        self._drop(lambda known: known.target_id == target_id)

    def close_job(self, job_id: str) -> None:
        """Close the orders of a job that is dropped."""
        self.by_key = {key: known for key, known in self.by_key.items() if key.job_id != job_id}

    def find_target(self, key: TaskKey, now_s: float) -> str | None:
        """Return the only target on which the task may be started now, or None if all may be."""
        known = self.by_key.get(key)
        if known is None:
            return None
        if known.is_open(now_s, self._lease_limit_s):
            return known.target_id
        del self.by_key[key]
        return None

    def _drop(self, is_closed: Callable[[OpenStart], bool]) -> None:
        self.by_key = {key: known for key, known in self.by_key.items() if not is_closed(known)}
