"""A log handler that never blocks and bounds its volume."""

import logging
import os
import time

# Bursts come from many jobs that are accepted or fail within a second.
LINES_PER_S = 200
BURST_LINES = 600


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting, and counts those that are dropped.

    A line is dropped when the rate is above `LINES_PER_S` for longer than the burst allows, or when
    the reader of the descriptor is too slow. The next line that is written tells how many were.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to the descriptor, which is set to non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._allowance = float(BURST_LINES)
        self._refilled_s = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record as one line, or count it as dropped."""
        if not self._take_allowance():
            self.dropped += 1
            return
        note = f' (dropped before: {self.dropped} lines)' if self.dropped else ''
        line = f'{self.format(record)}{note}\n'.encode()
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader is too slow or gone; there is no other place to tell it.
            self.dropped += 1
        else:
            self.dropped = 0

    def _take_allowance(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + refill)
        self._refilled_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
