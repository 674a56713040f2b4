"""Counts of what the executors ran, as evidence for tests and bench."""

from collections import Counter
from dataclasses import dataclass, field

from comfreywind.stand_ins.connection_log import ConnectionLog


@dataclass(slots=True)
class RunLog:
    """Runs by request id, and what runs now and ran at most at once, by team.

    `interrupted_count` counts tasks that a reboot cut off, `received_while_rebooting_count`
    requests that reached an executor during its reboot.
    """

    runs: Counter[str] = field(default_factory=Counter)
    running: Counter[str] = field(default_factory=Counter)
    highest_running: Counter[str] = field(default_factory=Counter)
    connections: ConnectionLog = field(default_factory=ConnectionLog)
    interrupted_count: int = 0
    received_while_rebooting_count: int = 0

    def start(self, request_id: str, team: str) -> None:
        """Count the start of a run."""
        self.runs[request_id] += 1
        self.running[team] += 1
        self.highest_running[team] = max(self.highest_running[team], self.running[team])

    def finish(self, team: str) -> None:
        """Count the end of a run."""
        self.running[team] -= 1

    def to_document(self) -> dict[str, dict[str, int]]:
        """Return the counts as a JSON document."""
        return {
            'runs': dict(self.runs),
            'running': dict(self.running),
            'highest_running': dict(self.highest_running),
            'connections': dict(self.connections.current),
            'highest_connections': dict(self.connections.highest),
            'refused_connections': dict(self.connections.refused),
            'reboots': {
                'interrupted': self.interrupted_count,
                'received_while_rebooting': self.received_while_rebooting_count,
            },
        }
