"""A waiting request in a queue."""

from dataclasses import dataclass

import trio

from comfreywind.decisions.refusal import Refusal
from comfreywind.entry.placement import Placement
from comfreywind.entry.ticket import Ticket


@dataclass(slots=True, eq=False)
class Waiter:
    """A ticket, its number in the order of arrival, and the task to wake once a result is set."""

    ticket: Ticket
    number: int
    task: trio.lowlevel.Task | None = None
    placement: Placement | None = None
    refusal: Refusal | None = None
