"""Bytes that a process has sent and received on its open TCP connections."""

import re
import shutil
import subprocess
from dataclasses import dataclass

SOCKET_LINE = re.compile('pid=([0-9]+),')
SENT = re.compile('bytes_sent:([0-9]+)')
RECEIVED = re.compile('bytes_received:([0-9]+)')


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes sent and received."""

    sent_bytes: int
    received_bytes: int

    @property
    def total_bytes(self) -> int:
        """Return the sum of both directions."""
        return self.sent_bytes + self.received_bytes


def can_read_traffic() -> bool:
    """Return whether the program `ss` is there, which reads the kernel's counters."""
    return shutil.which('ss') is not None


def read_traffic(pid: int) -> Traffic:
    """Return the counters of the connections that the process has open now."""
    output = subprocess.run(['ss', '-tinpHO'], capture_output=True, text=True, check=True).stdout
    sent_bytes = 0
    received_bytes = 0
    for line in output.splitlines():
        owner = SOCKET_LINE.search(line)
        if owner and int(owner.group(1)) == pid:
            sent_bytes += _read_count(SENT, line)
            received_bytes += _read_count(RECEIVED, line)
    return Traffic(sent_bytes, received_bytes)


def _read_count(pattern: re.Pattern[str], line: str) -> int:
    match = pattern.search(line)
    return int(match.group(1)) if match else 0
