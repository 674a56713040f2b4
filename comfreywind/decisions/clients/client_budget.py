"""Derives what clients may take up from the memory and the descriptors of the machine."""

from dataclasses import dataclass

BYTES_PER_MB = 1024 * 1024
# A node without clients takes 50 MB; its own work keeps most of what is above that.
OWN_MEMORY_MB = 60
CLIENTS_MEMORY_RATIO = 1 / 3
# Kept for files, and the ratio of the others that clients may use; the node itself needs descriptors
# for the store, other nodes and up to some hundred targets.
FILE_DESCRIPTORS = 200
CLIENTS_DESCRIPTORS_RATIO = 0.5
# An idle connection takes 19 KB, one with a request under way about 30 KB and its bytes.
CONNECTION_BYTES = 24_000
# Parts of the memory for clients.
CONNECTIONS_RATIO, HELD_RATIO, PARSED_RATIO = 0.45, 0.3, 0.15
CALLERS, PEERS, READINESS, METRICS = 'callers', 'peers', 'readiness', 'metrics'
# Ratios of the connections and of the bytes held for each port. Readiness checks and fetches of
# metrics have no bodies.
PORT_RATIOS = {
    CALLERS: (0.6, 0.6),
    PEERS: (0.2, 0.3),
    READINESS: (0.15, 0.05),
    METRICS: (0.05, 0.05),
}
# Below these a node could not serve single requests at each of its ports.
LEAST_CONNECTIONS, LEAST_HELD_BYTES, LEAST_PARSED_BYTES = 40, 4_000_000, 8_000_000


@dataclass(frozen=True, slots=True)
class PortBudget:
    """What the clients of one port may take up together."""

    connections: int
    held_bytes: int


@dataclass(frozen=True, slots=True)
class ClientBudget:
    """Shares of the ports by name, and of parsed requests.

    A share can't be used by clients of another port. So a crowd at the port for callers leaves what
    readiness checks and other nodes need.
    """

    ports: dict[str, PortBudget]
    parsed_bytes: int


def derive_budget(memory_mb: int, max_fds: int) -> ClientBudget:
    """Return the shares on a machine with this memory and this limit of descriptors."""
    memory_bytes = max(memory_mb - OWN_MEMORY_MB, 0) * BYTES_PER_MB * CLIENTS_MEMORY_RATIO
    connections = max(
        LEAST_CONNECTIONS,
        min(
            int(memory_bytes * CONNECTIONS_RATIO / CONNECTION_BYTES),
            int((max_fds - FILE_DESCRIPTORS) * CLIENTS_DESCRIPTORS_RATIO),
        ),
    )
    held_bytes = max(LEAST_HELD_BYTES, int(memory_bytes * HELD_RATIO))

    ports = {
        name: PortBudget(int(connections * connections_ratio), int(held_bytes * held_ratio))
        for name, (connections_ratio, held_ratio) in PORT_RATIOS.items()
    }
    return ClientBudget(ports, max(LEAST_PARSED_BYTES, int(memory_bytes * PARSED_RATIO)))
