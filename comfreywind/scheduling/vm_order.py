"""An order to the VM service whose outcome is still awaited."""

from dataclasses import dataclass


@dataclass(slots=True)
class VmOrder:
    """Sent for a VM that was the given target; `confirmed_s` is when the service said 200."""

    vm: str
    target_id: str
    sent_s: float
    confirmed_s: float | None = None
