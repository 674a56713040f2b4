"""Until when a call may go on whose answer may be large, or waits for others on a full link."""

from dataclasses import dataclass

# Of a larger answer each further part of this size is progress. A smaller answer has to arrive
# within the call's own time limit.
PART_BYTES = 16_384
# A call is given up after this time without progress of its own, even while other answers arrive:
# its connection may have gone silent for good.
SILENCE_LIMIT_S = 5.0
# A request may take half of the slowest link, 5 Mbit/s; the other half is for other traffic.
SENDING_BYTES_PER_S = 312_500


@dataclass(slots=True)
class CallProgress:
    """How far the answer to a call has come.

    `answered_bytes` is what has arrived of the answer; the other fields are for its time limit,
    which is fixed unless the call is a bulk read. Times are in seconds on the same steady clock.
    """

    is_bulk_read: bool = False
    answered_bytes: int = 0
    started_s: float = 0
    timeout_s: float = 0
    parts: int = 0
    progress_s: float = 0

    def start(self, now_s: float, timeout_s: float, request_bytes: int) -> None:
        """Start the time limit of a call that sends a request of this size."""
        self.started_s = now_s
        self.progress_s = now_s
        self.timeout_s = timeout_s + request_bytes / SENDING_BYTES_PER_S

    def note_answer(self, size_bytes: int, now_s: float) -> bool:
        """Note further bytes of the answer; return whether they complete a part of a large one."""
        self.answered_bytes += size_bytes
        parts = self.answered_bytes // PART_BYTES
        has_progress = parts > self.parts
        if has_progress:
            self.parts = parts
            self.progress_s = now_s
        return has_progress


def compute_deadline_s(call: CallProgress, last_part_s: float | None) -> float:
    """Return when to give the call up.

    `last_part_s` is when the last part of any large answer of the service arrived, or None. While
    such parts arrive, an answer that is still missing waits for its turn on the link.
    """
    own_s = call.started_s + call.timeout_s
    if last_part_s is None or not call.is_bulk_read:
        return own_s
    busy_s = min(last_part_s + call.timeout_s, call.progress_s + SILENCE_LIMIT_S)
    return max(own_s, busy_s)
