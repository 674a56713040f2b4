"""Chooses which connections to close when clients take up more than their share."""

import heapq
from collections.abc import Iterable
from operator import itemgetter
from typing import TypeVar

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.client_phase import UNFINISHED_PHASES, ClientPhase

# A request that the users allow takes 0.42 s on their slowest link of 5 Mbit/s. A client that has
# taken longer than this in one phase counts as slow.
SLOW_AFTER_S = 1.0
# A younger connection is not closed for a new one, so that a caller on a busy machine has the time
# to send its request. While clients come faster than connections grow older, new ones are refused.
YOUNG_S = 0.3

Client = TypeVar('Client')
# Connections of lower rank are closed first; within a rank, those with the lower second figure.
Rank = tuple[int, float]
AHEAD = 0
SLOW = 1
SILENT = 2
UNFINISHED = 3
IDLE = 4


def choose_connections(
    clients: Iterable[tuple[Client, ClientActivity]], count: int
) -> list[Client]:
    """Return up to `count` connections to close for new ones, the first choice first.

    First go connections on which more was sent before the reply, which callers don't do. Then slow
    unfinished requests, those with the fewest bytes a second first. Then connections that have never
    sent anything, then unfinished requests that are not slow yet, and last those idle after a
    request; each time the oldest first. Other requests that have arrived whole are not closed. At most one connection that is idle after a request is returned, as honest clients keep
    theirs.
    """
    ranked = [
        (_rank_connection(activity), client) for client, activity in clients if _can_close(activity)
    ]
    chosen = heapq.nsmallest(count, ranked, key=itemgetter(0))
    if chosen and chosen[0][0][0] == IDLE:
        return [chosen[0][1]]
    return [client for rank, client in chosen if rank[0] != IDLE]


def choose_holders(
    clients: Iterable[tuple[Client, ClientActivity]], excess_bytes: int
) -> list[Client]:
    """Return the unfinished requests to close so that at least `excess_bytes` are set free.

    Slow ones go first, those with the fewest bytes a second first, then those that have held the
    most for the longest time. The list is empty when all of them together don't hold that much.
    """
    ranked = sorted(
        (
            (_rank_holder(activity), client, activity.held_bytes)
            for client, activity in clients
            if activity.phase in UNFINISHED_PHASES and activity.held_bytes
        ),
        key=itemgetter(0),
    )
    chosen: list[Client] = []
    for _, client, held_bytes in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(client)
        excess_bytes -= held_bytes
    return chosen if excess_bytes <= 0 else []


def _can_close(activity: ClientActivity) -> bool:
    return activity.phase is not ClientPhase.SERVED and activity.age_s >= YOUNG_S


def _rank_holder(activity: ClientActivity) -> Rank:
    rank = _rank_connection(activity)
    return (UNFINISHED, -activity.age_s * activity.held_bytes) if rank[0] == UNFINISHED else rank


def _rank_connection(activity: ClientActivity) -> Rank:
    if activity.phase is ClientPhase.AHEAD:
        return AHEAD, -activity.age_s
    if activity.phase is ClientPhase.SILENT:
        return SILENT, -activity.age_s
    if activity.phase not in UNFINISHED_PHASES:
        return IDLE, -activity.age_s
    if activity.age_s >= SLOW_AFTER_S:
        return SLOW, activity.received_bytes / activity.age_s
    return UNFINISHED, -activity.age_s
