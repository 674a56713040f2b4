"""Decides whether a draining VM is drained: it runs no work and gets none from any member."""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The last heartbeat of a member that is not fenced.

    `sequence` is the sequence in the change feed up to which the member has applied changes, None
    before its first heartbeat. `running` is the number of its requests on the VM, None if it does
    not report one. Both come from the same heartbeat. If the sequence includes the draining row, a
    `running` of 0 stays 0, because the member sends no more requests to the VM.
    """

    name: str
    sequence: int | None
    running: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """The drain of a VM as the deciding entry sees it; times are monotonic, in seconds.

    `row_sequence` is a sequence in the change feed that includes the draining row. `confirmed_s` is
    when all members had applied it, None before. `unreported_until_s` is the time at which the work
    of members that sent no report has certainly ended: of those that left or were fenced, and of
    those that were there before this entry started. `run_limit_s` is how long a run may take.
    """

    row_sequence: int
    confirmed_s: float | None
    unreported_until_s: float
    run_limit_s: float


def is_confirmed(row_sequence: int, members: Collection[MemberReport]) -> bool:
    """Return whether every member that is not fenced has applied the draining row."""
    return all(
        member.sequence is not None and member.sequence >= row_sequence for member in members
    )


def is_drained(drain: Drain, members: Collection[MemberReport], now_s: float) -> bool:
    """Return whether the VM can be stopped or moved without interrupting a request.

    All members must have applied the draining row and report that they run nothing on the VM. For a
    member that reports no number, `run_limit_s` must have passed since the confirmation: the header
    `Comfreywind-Run-Until` ends earlier work at the worker by then.
    """
    if drain.confirmed_s is None or not is_confirmed(drain.row_sequence, members):
        return False
    if now_s < drain.unreported_until_s:
        return False
    limit_passed = now_s - drain.confirmed_s >= drain.run_limit_s
    return all(
        limit_passed if member.running is None else member.running == 0 for member in members
    )
