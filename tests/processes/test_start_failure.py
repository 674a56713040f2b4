"""A start that fails is reported in one line and ends the process."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from bench.ports import PORTS
from comfreywind.exit_status import ExitStatus

TIMEOUT_S = 20


@pytest.mark.parametrize('setting', ['caller_address', 'operator_address', 'peer_address'])
def test_address_in_use(tmp_path: Path, setting: str) -> None:
    """Guards against a traceback, or an entry that runs on, when an address is taken."""
    settings = {
        f'{name}_address': f'127.0.0.1:{PORTS.find_free()}'
        for name in ('caller', 'operator', 'peer', 'platform')
    }
    host, _, port = settings[setting].rpartition(':')
    path = tmp_path / 'entry.yaml'
    names = {'name': 'entry-0', 'data_centre': 'dc-1', 'operator_token_sha256': '0' * 64}
    path.write_text(yaml.safe_dump({**settings, **names}), encoding='utf-8')
    command = [sys.executable, '-m', 'comfreywind', 'entry', '--settings', str(path)]
    with socket.create_server((host, int(port))):
        result = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=False)
    stderr = result.stderr.decode()
    assert result.returncode == ExitStatus.LISTEN_ERROR
    assert stderr.splitlines()[-1].startswith(f"comfreywind: can't listen on {settings[setting]}: ")
    assert 'Traceback' not in stderr
