"""A target's answer to a start order."""

import enum


class StartAnswer(enum.StrEnum):
    """Answer to a start order; unless noted here, no run was started.

    After UNKNOWN, for an order without a usable reply in time, the run may exist or may start later.
    The same holds for DISCONNECTED, when the target closed the connection instead of replying: it
    may have crashed. After UNREACHABLE the order was not sent, for want of a connection.
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
    DISCONNECTED = 'disconnected'
    UNREACHABLE = 'unreachable'
