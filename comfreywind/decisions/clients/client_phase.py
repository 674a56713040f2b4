"""What a connection of a client is waiting for."""

from enum import StrEnum


class ClientPhase(StrEnum):
    """The phases of a connection, in the order in which a request passes through them.

    `SILENT` has never sent a byte, `IDLE` has had a request served and waits for the next one. In
    `SERVED` the request has arrived whole and the reply is being made; in `AHEAD` the client has sent
    more meanwhile. In `REPLY` the client has to read what is sent.
    """

    SILENT = 'silent'
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    SERVED = 'served'
    AHEAD = 'ahead'
    REPLY = 'reply'


# The client has to do something before the request goes on.
UNFINISHED_PHASES = frozenset((ClientPhase.HEAD, ClientPhase.BODY, ClientPhase.REPLY))
EMPTY_PHASES = frozenset((ClientPhase.SILENT, ClientPhase.IDLE))
