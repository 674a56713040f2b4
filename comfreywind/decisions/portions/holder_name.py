"""Names of holders: one incarnation of an entry, written `name@incarnation`."""

from comfreywind.decisions.portions.totals import Totals, read_total

FLOW_SEPARATOR = '>'


def make_holder(name: str, incarnation: int) -> str:
    """Return the holder's name."""
    return f'{name}@{incarnation}'


def split_holder(holder: str) -> tuple[str, int]:
    """Return the name of the entry and its incarnation."""
    name, _, incarnation = holder.rpartition('@')
    return name, int(incarnation)


def make_flow(giver: str, receiver: str) -> str:
    """Return the key of what the giver has given to the receiver in all."""
    return f'{giver}{FLOW_SEPARATOR}{receiver}'


def split_flow(flow: str) -> tuple[str, str]:
    """Return the giver and the receiver."""
    giver, _, receiver = flow.partition(FLOW_SEPARATOR)
    return giver, receiver


def is_settled(settled: Totals, holder: str) -> bool:
    """Return whether the holder's units were settled after its fence or departure."""
    name, incarnation = split_holder(holder)
    return read_total(settled, name) >= incarnation
