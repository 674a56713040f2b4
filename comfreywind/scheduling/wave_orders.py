"""The maintenance orders of one wave that are in progress."""

from collections.abc import Iterator

from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.vm_order import VmOrder
from comfreywind.scheduling.vm_watch import VmWatch

# An order without an answer is sent again after this time, until the service confirms it; the
# service carries it out only once.
RESEND_AFTER_S = 1.3
# The service also answers 200 when the maintenance of the VM was done before. That is the case when
# the VM is still up as the same target after this time.
ALREADY_DONE_S = 2.0


class WaveOrders:
    """Orders by VM, from the first attempt until the VM is back or removed.

    An order is unconfirmed until the VM service has answered an attempt with status 200. Times are
    on the holder's steady clock.
    """

    def __init__(self, watch: VmWatch) -> None:
        """Start without orders; `watch` has the list of VMs."""
        self._watch = watch
        self._orders: dict[str, VmOrder] = {}

    def __len__(self) -> int:
        """Return the number of orders in progress."""
        return len(self._orders)

    def __iter__(self) -> Iterator[VmOrder]:
        """Return the orders, also those without a VM on the list."""
        return iter(tuple(self._orders.values()))

    @property
    def names(self) -> set[str]:
        """Return the names of the VMs that may be down because of an order."""
        return set(self._orders)

    def begin_attempt(self, vm: Vm, now_s: float) -> VmOrder:
        """Return the order for a VM that is about to be sent.

        An attempt before a restart of the VM may still be carried out.
        """
        earlier = self._orders.get(vm.name)
        may_be_pending = earlier is not None and earlier.may_be_pending
        order = VmOrder(vm.name, vm.target_id, now_s, may_be_pending=may_be_pending)
        self._orders[vm.name] = order
        return order

    def remove(self, name: str) -> None:
        """Remove the order for a VM."""
        self._orders.pop(name, None)

    def may_empty(self, vm: Vm) -> bool:
        """Return whether the VM has yet to be emptied, in this life, for its first order."""
        return vm.name not in self._orders or self.is_restarted(vm)

    def is_restarted(self, vm: Vm) -> bool:
        """Return whether a VM is up as another target, and its order was never confirmed.

        Whether it has been in maintenance or has crashed is not known.
        """
        order = self._get_unconfirmed(vm)
        return order is not None and vm.up and vm.target_id != order.target_id

    def needs_resending(self, vm: Vm, now_s: float) -> bool:
        """Return whether a VM is up as the same target and its order was not confirmed in time."""
        order = self._get_unconfirmed(vm)
        if order is None or not vm.up or vm.target_id != order.target_id:
            return False
        return now_s - order.sent_s > RESEND_AFTER_S

    def is_closed(self, order: VmOrder, now_s: float) -> bool:
        """Return whether the VM of an order is removed, or up again after its maintenance."""
        vm = self._watch.vms.get(order.vm)
        if vm is None:
            return self._watch.is_removed(order.vm)
        confirmed_s = order.confirmed_s
        if confirmed_s is None or not vm.up or self._watch.read_started_s <= confirmed_s:
            return False
        return vm.target_id != order.target_id or now_s - confirmed_s > ALREADY_DONE_S

    def _get_unconfirmed(self, vm: Vm) -> VmOrder | None:
        order = self._orders.get(vm.name)
        return None if order is None or order.confirmed_s is not None else order
