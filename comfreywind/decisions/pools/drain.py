"""When no work runs on a draining VM and none can be sent to it any more."""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The last heartbeat of a member that is not fenced.

    `sequence` is the feed sequence up to which it has applied changes, None before its first
    heartbeat; `running` is the number of its requests on the VM, None when it does not tell. Both
    come from one heartbeat, so a count of 0 at a later sequence than the draining row stays 0.
    """

    name: str
    sequence: int | None
    running: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """A draining VM as the deciding entry sees it; times are monotonic, in seconds.

    `row_sequence` is a feed sequence that includes the draining row. `confirmed_s` is when every
    member had confirmed it, None before. `unreported_until_s` is when work of members that have
    gone or been fenced, or were there before this entry started, has ended at the latest.
    """

    row_sequence: int
    confirmed_s: float | None
    unreported_until_s: float
    graceful_s: float


def is_confirmed(row_sequence: int, members: Collection[MemberReport]) -> bool:
    """Return whether every member that is not fenced knows that the VM drains."""
    return all(
        member.sequence is not None and member.sequence >= row_sequence for member in members
    )


def is_drained(drain: Drain, members: Collection[MemberReport], now_s: float) -> bool:
    """Return whether the VM can be stopped or moved without interrupting a request.

    After the confirmation it waits until every member reports no work there. For members that
    report nothing it waits until the run limit of earlier work has passed, because
    `Comfreywind-Run-Until` ends that work at the worker.
    """
    if drain.confirmed_s is None or not is_confirmed(drain.row_sequence, members):
        return False
    if now_s < drain.unreported_until_s:
        return False
    limit_passed = now_s - drain.confirmed_s >= drain.graceful_s
    return all(
        limit_passed if member.running is None else member.running == 0 for member in members
    )
