"""Names of holders (incarnations of entries, `name@incarnation`) and of flows between them."""

from comfreywind.decisions.portions.totals import NumberMap, get_number

FLOW_SEPARATOR = '>'


def make_holder(name: str, incarnation: int) -> str:
    """Return the holder name of an incarnation of an entry."""
    return f'{name}@{incarnation}'


def split_holder(holder: str) -> tuple[str, int]:
    """Return the entry name and the incarnation of a holder."""
    name, _, incarnation = holder.rpartition('@')
    return name, int(incarnation)


def make_flow(giver: str, receiver: str) -> str:
    """Return the key of the flow of units from the giver to the receiver."""
    return f'{giver}{FLOW_SEPARATOR}{receiver}'


def split_flow(flow: str) -> tuple[str, str]:
    """Return the giver and the receiver of a flow."""
    giver, _, receiver = flow.partition(FLOW_SEPARATOR)
    return giver, receiver


def is_settled(settled: NumberMap, holder: str) -> bool:
    """Return whether the holder is settled: its units were reclaimed or returned for good.

    `settled` maps entry names to the highest settled incarnation, as in a portion row.
    """
    name, incarnation = split_holder(holder)
    return get_number(settled, name) >= incarnation
