"""Why a client is refused or its connection closed."""

from enum import StrEnum


class CloseReason(StrEnum):
    """What the client exceeded, or what its port has run out of."""

    TIME = 'time'
    CONNECTIONS = 'connections'
    MEMORY = 'memory'
    AHEAD = 'ahead'
    ERROR = 'error'
