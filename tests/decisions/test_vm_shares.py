"""How VMs are divided among pools that burst at the same time, and moved between them."""

import pytest

from comfreywind.decisions.scheduling.pool_size import PoolLoad, VmMove, choose_moves
from comfreywind.decisions.scheduling.vm_shares import VmNeed, divide_vms


@pytest.mark.parametrize(
    ('needs', 'total', 'sizes'),
    [
        pytest.param([VmNeed(2, 5, 9, 14), VmNeed(2, 3, 3, 6)], 30, [14, 6], id='enough'),
        pytest.param(
            [VmNeed(2, 40, 120, 172), VmNeed(2, 30, 30, 44)], 100, [70, 30], id='forecast'
        ),
        pytest.param([VmNeed(2, 60, 60, 87), VmNeed(2, 30, 30, 44)], 100, [66, 33], id='headroom'),
        pytest.param([VmNeed(2, 90, 90, 130), VmNeed(2, 30, 30, 44)], 62, [46, 16], id='present'),
        pytest.param([VmNeed(2, 90, 90, 130), VmNeed(2, 0, 0, 3)], 10, [8, 2], id='base'),
        pytest.param([VmNeed(2, 2, 2, 2), VmNeed(2, 2, 2, 2)], 0, [0, 0], id='no VMs'),
    ],
)
def test_division(needs: list[VmNeed], total: int, sizes: list[int]) -> None:
    """Guards against a forecast or headroom that takes the VMs which the waiting jobs of others need."""
    divided = divide_vms({str(number): need for number, need in enumerate(needs)}, total)
    assert list(divided.values()) == sizes


def test_burst_meets_present_work_of_others() -> None:
    """A pool whose forecast is three times its load leaves idle VMs to one whose jobs wait.

    Seen on boisvert-releves-grown scale-2: two pools wanted 300 of 180 VMs, and the one whose jobs
    waited got 10 while the other kept idle VMs for its headroom.
    """
    falling = PoolLoad('falling', False, 60, 100, 0, tuple(f'vm{number}' for number in range(14)))
    rising = PoolLoad('rising', False, 70, 9, 0, (), expected_vms=125)
    moves = choose_moves([falling, rising])
    assert moves == [VmMove(f'vm{number}', 'rising') for number in range(14)]


def test_enough_vms_for_all() -> None:
    """Pools get what they want, headroom included, while there are enough VMs."""
    standby = PoolLoad('standby', True, 0, 0, 0, tuple(f'vm{number}' for number in range(40)))
    busy = PoolLoad('busy', False, 14, 10, 0, ())
    assert len(choose_moves([standby, busy])) == 21 - 10
