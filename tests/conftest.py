"""Fixtures of the tests and the list of tests known to fail."""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan

KNOWN_RED_PATH = Path(__file__).parent.parent / 'KNOWN-RED.txt'
KNOWN_RED_ENTRY = re.compile('^test: (tests/.*)$', re.MULTILINE)


def read_known_red() -> list[str]:
    """Return the node ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_PATH.exists():
        return []
    return KNOWN_RED_ENTRY.findall(KNOWN_RED_PATH.read_text(encoding='utf-8'))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let exactly the tests listed in KNOWN-RED.txt fail."""
    known_red = set(read_known_red())
    for test in items:
        if test.nodeid in known_red:
            test.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt', strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for node_id in read_known_red():
        terminalreporter.write_line(f'known to fail: {node_id}')


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Run the default fleet of real processes for the tests of one module."""
    with Fleet(FleetPlan()) as running_fleet:
        yield running_fleet
