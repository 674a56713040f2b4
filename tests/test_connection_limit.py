"""The limit of connections to an executor."""

import threading
from collections.abc import Iterator

import pytest

from tests.helpers.fault_fleet import FaultFleet, make_fault_plan
from tests.helpers.raw_caller import open_raw

CONNECTIONS = 6
ENTRIES = 3


@pytest.fixture(scope='module')
def narrow() -> Iterator[FaultFleet]:
    """Run entries that share few connections to each executor."""
    # One connection more than the entries may use is for the calls of the test itself.
    plan = make_fault_plan(entries_count=ENTRIES, connections=CONNECTIONS + 1)
    for pool in ('solo', 'pair', 'crossings'):
        plan.bundle['pools'][pool]['connections_per_vm'] = CONNECTIONS
    with FaultFleet(plan) as fleet:
        yield fleet


def test_connections_are_divided(narrow: FaultFleet) -> None:
    """Guards against entries that together open more connections than an executor takes."""
    outcomes: list[str] = []

    def call(entry: int) -> None:
        outcomes.extend(narrow.call('solo', 'POST', '', entry).outcome for _ in range(10))

    threads = [threading.Thread(target=call, args=(index % ENTRIES,)) for index in range(24)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    log = narrow.read_run_log(0)
    assert outcomes == ['answered'] * 240
    assert log['highest_connections']['solo-0'] <= CONNECTIONS + 1
    assert not log['refused_connections']


def test_executor_refuses_more(narrow: FaultFleet) -> None:
    """Guards against a stand-in that takes any number of connections."""
    connections = [open_raw(str(narrow.vms[1]['address'])) for _ in range(CONNECTIONS + 2)]
    try:
        assert connections[-1].recv(1) == b''
    finally:
        for connection in connections:
            connection.close()
