"""A member's attempt to fence a holder that doesn't renew."""

from dataclasses import dataclass, replace

from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.totals import Totals

Agreement = tuple[str, tuple[tuple[str, Totals], ...]]


@dataclass(frozen=True, slots=True)
class FenceCase:
    """The holder, its renewal number, when this entry first saw that, and who agreed.

    An agreement is the agreeing holder and, by resource, its flows with the fenced holder.
    """

    holder: str
    renewal_number: int
    first_seen_s: float
    agreements: tuple[Agreement, ...] = ()


def is_expired(case: FenceCase, timing: SessionTiming, now_s: float) -> bool:
    """Return whether the session from that renewal has ended for certain."""
    return now_s >= case.first_seen_s + timing.observed_ttl_s


def add_agreement(case: FenceCase, renewal_number: int, agreement: Agreement) -> FenceCase:
    """Return the case with the agreement, unless that is for another renewal number."""
    if renewal_number != case.renewal_number:
        return case
    others = [known for known in case.agreements if known[0] != agreement[0]]
    return replace(case, agreements=tuple(sorted([*others, agreement])))


def list_missing(case: FenceCase, members: frozenset[str]) -> frozenset[str]:
    """Return the members whose agreement is still needed."""
    return members - {case.holder} - {name for name, _ in case.agreements}


def collect_flows(case: FenceCase) -> dict[str, Totals]:
    """Return all reported flows of the holder by resource."""
    flows: dict[str, Totals] = {}
    for _, resources in case.agreements:
        for resource, totals in resources:
            flows[resource] = tuple(sorted({*flows.get(resource, ()), *totals}))
    return flows
