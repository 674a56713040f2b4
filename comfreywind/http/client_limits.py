"""What a process gives to its clients: the one place that grants, closes and counts."""

import trio

from comfreywind.decisions.clients.client_budget import ClientBudget
from comfreywind.decisions.clients.time_limits import TimeLimits
from comfreywind.http.client_port import ClientPort
from comfreywind.http.parsed_bytes import ParsedBytes
from comfreywind.http.parsing_pace import ParsingPace
from comfreywind.http.refusal_count import RefusalCount
from comfreywind.metrics import Metrics

CHECK_INTERVAL_S = 0.5
CHECKS_PER_LOG_LINE = 2


class ClientLimits:
    """Owns the shares of all ports of the process."""

    def __init__(self, budget: ClientBudget, metrics: Metrics) -> None:
        """Share out the budget."""
        self._metrics = metrics
        self._refusals = RefusalCount(metrics)
        times, pace = TimeLimits(), ParsingPace()
        self._ports = {
            name: ClientPort(name, share, times, self._refusals, pace)
            for name, share in budget.ports.items()
        }
        self.parsed = ParsedBytes(budget.parsed_bytes)

    def find_port(self, name: str) -> ClientPort:
        """Return the share of a port."""
        return self._ports[name]

    async def run(self) -> None:
        """Close clients that take too long, and report, until cancelled."""
        while True:
            for _ in range(CHECKS_PER_LOG_LINE):
                await trio.sleep(CHECK_INTERVAL_S)
                self._check_ports()
            self._refusals.log_new()

    def _check_ports(self) -> None:
        for name, port in self._ports.items():
            port.close_overdue()
            self._metrics.set_level(f'client_connections.{name}', port.connections)
            self._metrics.set_level(f'client_held_bytes.{name}', port.total_bytes)
