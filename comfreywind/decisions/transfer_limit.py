"""How long a call to a service may take whose request or answer may be large."""

from dataclasses import dataclass

# Each further part of this size of a large answer is progress. A smaller answer, or request, has to
# pass within the call's own timeout.
PART_BYTES = 16_384
# A quarter of the slowest link, 5 Mbit/s: that many transactions may be sent at the same time.
SENDING_BYTES_PER_S = 156_250
# Answers that have been asked for together arrive in one go, and other calls wait behind them for
# no longer than this.
LINK_WAIT_S = 0.5
WINDOW_BYTES = 65_536
LEAST_BULK_READS, MOST_BULK_READS = 4, 48
BYTES_PER_MBIT = 125_000


@dataclass(slots=True)
class CallProgress:
    """How far the answer to one call has come, and until when it may take.

    The answer to a bulk read may be large: its deadline moves on with each part that arrives. That
    of any other call is fixed. Times are in seconds on one steady clock.
    """

    is_bulk_read: bool = False
    answered_bytes: int = 0
    timeout_s: float = 0
    deadline_s: float = 0

    def start(self, now_s: float, timeout_s: float, request_bytes: int) -> None:
        """Start the time of a call that sends a request of this size."""
        excess_bytes = max(request_bytes - PART_BYTES, 0)
        self.answered_bytes = 0
        self.timeout_s = timeout_s
        self.deadline_s = now_s + timeout_s + excess_bytes / SENDING_BYTES_PER_S

    def note_answer(self, size_bytes: int, now_s: float) -> None:
        """Note further bytes of the answer."""
        parts_before = self.answered_bytes // PART_BYTES
        self.answered_bytes += size_bytes
        if self.is_bulk_read and self.answered_bytes // PART_BYTES > parts_before:
            self.deadline_s = max(self.deadline_s, now_s + self.timeout_s)


def choose_bulk_reads(link_mbps: float) -> int:
    """Return how many bulk reads a node with this link may have open at the same time."""
    reads = int(link_mbps * BYTES_PER_MBIT * LINK_WAIT_S / WINDOW_BYTES)
    return max(LEAST_BULK_READS, min(reads, MOST_BULK_READS))
