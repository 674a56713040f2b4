"""The single executable file: builds, starts, and each role is exactly one process."""

import os
import signal
import subprocess
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import psutil
import pytest
import yaml

from bench.build_binary import build_binary
from bench.fleet import Fleet, answers, wait_until
from bench.fleet_plan import FleetPlan

START_TIMEOUT_S = 20
ROLES = (
    ('platform', ['stand-in', 'platform'], 'address', '/v1/vms', 200),
    ('target-0', ['stand-in', 'target'], 'executors', '/stand-in/runs', 200),
    ('entry-0', ['entry'], 'operator_address', '/v1/status', 401),
)


@pytest.fixture(scope='module')
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the file once for this module."""
    return build_binary(tmp_path_factory.mktemp('dist') / 'comfreywind')


@pytest.fixture(scope='module')
def planned_fleet() -> Iterator[Fleet]:
    """Write the settings files of a fleet without starting it."""
    fleet = Fleet(FleetPlan(entries_count=1))
    yield fleet
    fleet.stop()


@pytest.mark.parametrize(('name', 'command', 'address_key', 'path', 'status'), ROLES)
def test_role_is_one_process(
    binary: Path,
    planned_fleet: Fleet,
    tmp_path: Path,
    name: str,
    command: list[str],
    address_key: str,
    path: str,
    status: int,
) -> None:
    """Guards against a packaging that starts a child process, or a role that can't start."""
    settings_path = planned_fleet.folder / f'{name}.yaml'
    address = find_address(yaml.safe_load(settings_path.read_text())[address_key])
    with subprocess.Popen(
        [str(binary), *command, '--settings', str(settings_path)],
        env={**os.environ, 'SHIV_ROOT': str(tmp_path)},
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            wait_until(lambda: answers(address, path, status), name, START_TIMEOUT_S)
            assert not psutil.Process(process.pid).children(recursive=True)
        finally:
            process.send_signal(signal.SIGTERM)
        assert process.wait(START_TIMEOUT_S) == 0


def find_address(setting: Any) -> str:
    """Return the address in a setting, or that of the first executor in a list of them."""
    return str(setting[0]['address']) if isinstance(setting, list) else str(setting)
