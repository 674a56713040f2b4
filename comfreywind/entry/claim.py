"""A claim that this entry holds."""

from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome


@dataclass(slots=True)
class Claim:
    """The right to run a request once; `version` is that of its row, None while in doubt."""

    row_key: str
    claim_id: str
    fingerprint: str
    claimed_at_s: float
    version: int | None = None
    outcome: Outcome | None = None
