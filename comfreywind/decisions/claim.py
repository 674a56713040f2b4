"""Decides who may run a request with an idempotency key (docs/design.md, 5.4)."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A row of the table `claims`; `claimed_at_s` is Unix time, `outcome` None while not known."""

    claim_id: str
    entry: str
    incarnation: int
    fingerprint: str
    claimed_at_s: float
    outcome: Outcome | None
    version: int


class WriteResult(enum.Enum):
    """What the store said about a conditional write."""

    DONE = enum.auto()
    CONFLICT = enum.auto()
    LOST = enum.auto()


class ClaimStep(enum.Enum):
    """The next step of an entry that wants to claim a key."""

    RUN = enum.auto()
    WRITE = enum.auto()
    READ = enum.auto()
    REJECT_TAKEN = enum.auto()
    REJECT_OTHER_REQUEST = enum.auto()


class ClaimEnd(enum.Enum):
    """What happens to the row when the request of a claim has ended."""

    RELEASE = enum.auto()
    WRITE_OUTCOME = enum.auto()


def decide_after_write(ending: WriteResult) -> ClaimStep:
    """Return the step after the creation of the row was tried.

    Neither a conflict nor a lost reply tells whose row it is: an earlier write of this very claim
    may have taken effect. Only reading the row tells.
    """
    return ClaimStep.RUN if ending is WriteResult.DONE else ClaimStep.READ


def decide_after_read(
    row: ClaimRow | None, claim_id: str, fingerprint: str, oldest_s: float
) -> ClaimStep:
    """Return the step after the row was read; a row claimed before `oldest_s` has expired."""
    if row is None:
        return ClaimStep.WRITE
    if row.claim_id == claim_id:
        return ClaimStep.RUN
    if row.claimed_at_s < oldest_s:
        return ClaimStep.WRITE
    if row.fingerprint != fingerprint:
        return ClaimStep.REJECT_OTHER_REQUEST
    return ClaimStep.REJECT_TAKEN


def find_write_condition(row: ClaimRow | None) -> int:
    """Return the version that the row must have for a claim to be written; 0 means missing."""
    return 0 if row is None else row.version


def decide_claim_end(outcome: Outcome) -> ClaimEnd:
    """Return what to do with the row; only a request that has certainly not run releases it."""
    return ClaimEnd.RELEASE if outcome is Outcome.NOT_RUN else ClaimEnd.WRITE_OUTCOME


def is_end_settled(end: ClaimEnd, row: ClaimRow | None, claim_id: str) -> bool:
    """Return whether the row shows that the end of the claim needs no further write."""
    if row is None or row.claim_id != claim_id:
        return True
    return end is ClaimEnd.WRITE_OUTCOME and row.outcome is not None
