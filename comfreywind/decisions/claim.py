"""Decides which entry may run a request with an idempotency key (docs/design.md, 5.4)."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A row of the table `claims`.

    `claimed_at_s` is a Unix time. `outcome` is None until the request has ended.
    """

    claim_id: str
    entry: str
    incarnation: int
    fingerprint: str
    claimed_at_s: float
    outcome: Outcome | None
    version: int


class WriteResult(enum.Enum):
    """Result of a conditional write to the store; `LOST` means that no reply arrived."""

    DONE = enum.auto()
    CONFLICT = enum.auto()
    LOST = enum.auto()


class ClaimStep(enum.Enum):
    """The next step of an entry that is claiming an idempotency key.

    `REJECT_TAKEN` is for a key that the same request has claimed before, `REJECT_OTHER_REQUEST` for
    a key that came with another method, path or body.
    """

    RUN = enum.auto()
    WRITE = enum.auto()
    READ = enum.auto()
    REJECT_TAKEN = enum.auto()
    REJECT_OTHER_REQUEST = enum.auto()


class ClaimEnd(enum.Enum):
    """What is done with the claim row when the request has ended."""

    RELEASE = enum.auto()
    WRITE_OUTCOME = enum.auto()


def decide_after_write(result: WriteResult) -> ClaimStep:
    """Return the step after an attempt to create the claim row.

    After a conflict or a lost reply the row must be read to see whose it is: an earlier write of
    this same claim may have taken effect.
    """
    return ClaimStep.RUN if result is WriteResult.DONE else ClaimStep.READ


def decide_after_read(
    row: ClaimRow | None, claim_id: str, fingerprint: str, oldest_s: float
) -> ClaimStep:
    """Return the step after the row was read; a claim made before `oldest_s` has expired."""
    if row is None:
        return ClaimStep.WRITE
    if row.claim_id == claim_id:
        return ClaimStep.RUN
    if row.claimed_at_s < oldest_s:
        return ClaimStep.WRITE
    if row.fingerprint != fingerprint:
        return ClaimStep.REJECT_OTHER_REQUEST
    return ClaimStep.REJECT_TAKEN


def get_write_condition(row: ClaimRow | None) -> int:
    """Return the row version that the write of a claim is conditional on, 0 for a missing row."""
    return 0 if row is None else row.version


def decide_claim_end(outcome: Outcome) -> ClaimEnd:
    """Return what to do with the row; it is released only if the request has certainly not run."""
    return ClaimEnd.RELEASE if outcome is Outcome.NOT_RUN else ClaimEnd.WRITE_OUTCOME


def is_end_resolved(end: ClaimEnd, row: ClaimRow | None, claim_id: str) -> bool:
    """Return whether the row, as just read, needs no further write for the end of the claim."""
    if row is None or row.claim_id != claim_id:
        return True
    return end is ClaimEnd.WRITE_OUTCOME and row.outcome is not None
