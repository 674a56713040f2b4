"""An attempt of a member to fence a holder that does not renew its session."""

from dataclasses import dataclass, replace

from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.totals import NumberMap

Agreement = tuple[str, tuple[tuple[str, NumberMap], ...]]


@dataclass(frozen=True, slots=True)
class FenceAttempt:
    """The state of an attempt to fence a holder.

    `first_seen_s` is the monotonic time at which this entry first saw `renewal_number`.
    `agreements` are the members that agreed to the fence, each with its flows to and from the
    holder by resource.
    """

    holder: str
    renewal_number: int
    first_seen_s: float
    agreements: tuple[Agreement, ...] = ()


def is_expired(fence_attempt: FenceAttempt, timing: SessionTiming, now_s: float) -> bool:
    """Return whether the session that began with the renewal has certainly ended."""
    return now_s >= fence_attempt.first_seen_s + timing.observed_ttl_s


def add_agreement(
    fence_attempt: FenceAttempt, renewal_number: int, agreement: Agreement
) -> FenceAttempt:
    """Return the attempt with the agreement; one for another renewal number is ignored."""
    if renewal_number != fence_attempt.renewal_number:
        return fence_attempt
    others = [earlier for earlier in fence_attempt.agreements if earlier[0] != agreement[0]]
    return replace(fence_attempt, agreements=tuple(sorted([*others, agreement])))


def list_missing_members(fence_attempt: FenceAttempt, members: frozenset[str]) -> frozenset[str]:
    """Return the members that have not agreed yet."""
    return members - {fence_attempt.holder} - {name for name, _ in fence_attempt.agreements}


def collect_flows(fence_attempt: FenceAttempt) -> dict[str, NumberMap]:
    """Return the flows to and from the holder that the members reported, by resource."""
    flows: dict[str, NumberMap] = {}
    for _, resources in fence_attempt.agreements:
        for resource, reported_flows in resources:
            flows[resource] = tuple(sorted({*flows.get(resource, ()), *reported_flows}))
    return flows
