"""A target's answer to a start order."""

import enum


class StartAnswer(enum.StrEnum):
    """Answer to a start order; all but STARTED and UNKNOWN mean that no run was started.

    After UNKNOWN, for an order without a usable reply, the run may exist or may start later.
    """

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
