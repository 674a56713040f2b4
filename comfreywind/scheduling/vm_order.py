"""An order to the VM service that is in progress."""

from dataclasses import dataclass


@dataclass(slots=True)
class VmOrder:
    """An order for a VM, which was the target `target_id` when it was sent.

    `confirmed_s` is when the service answered with status 200, or None before. `may_be_pending` is
    set once an attempt got no answer, which the service may carry out later.
    """

    vm: str
    target_id: str
    sent_s: float
    confirmed_s: float | None = None
    may_be_pending: bool = False
