"""What a target said to an order to start."""

import enum


class StartAnswer(enum.StrEnum):
    """Answer to a start; all but STARTED and UNKNOWN mean that nothing was started."""

    STARTED = 'started'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    EXPIRED = 'expired'
    NO_ROOM = 'no-room'
    NO_TICKET = 'no-ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'
