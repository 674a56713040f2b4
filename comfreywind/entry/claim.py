"""A claim of an idempotency key that this entry holds."""

from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome


@dataclass(slots=True)
class Claim:
    """The right to run a request once.

    `claimed_at_s` is a Unix time. `version` is the version of the claim's row, None while it is
    unconfirmed. `outcome` is None until the request has ended.
    """

    row_key: str
    claim_id: str
    fingerprint: str
    claimed_at_s: float
    version: int | None = None
    outcome: Outcome | None = None
