"""The command line: help, version, checked settings and exit statuses."""

from pathlib import Path

import pytest

from comfreywind.exit_status import ExitStatus
from tests.helpers.program import run_program

VALID_TARGET = 'executors: [{name: a, address: "127.0.0.1:9000"}]\n'
SETTINGS_CASES = (
    ('valid', VALID_TARGET, ExitStatus.SUCCESS, 'valid settings'),
    ('unknown key', f'{VALID_TARGET}slots: 3\n', ExitStatus.SETTINGS_ERROR, 'slots: Extra inputs'),
    (
        'repeated key',
        f'{VALID_TARGET}{VALID_TARGET}',
        ExitStatus.SETTINGS_ERROR,
        "key 'executors' is given twice",
    ),
    (
        'bad port',
        'executors: [{name: a, address: "127.0.0.1:99999"}]',
        ExitStatus.SETTINGS_ERROR,
        "executors.0.address: Value error, '99999' is no port number",
    ),
    ('not YAML', 'executors: [', ExitStatus.SETTINGS_ERROR, 'expected the node content'),
)


@pytest.mark.parametrize(('case', 'text', 'exit_status', 'expected'), SETTINGS_CASES)
def test_check_settings(
    tmp_path: Path, case: str, text: str, exit_status: ExitStatus, expected: str
) -> None:
    """Guards against starting with settings that are malformed or misspelt."""
    path = tmp_path / 'target.yaml'
    path.write_text(text, encoding='utf-8')
    result = run_program('check', 'stand-in-target', str(path))
    assert result.exit_status == exit_status, case
    assert expected in result.stdout + result.stderr


def test_missing_settings_file() -> None:
    """Guards against a traceback for a missing file."""
    result = run_program('entry', '--settings', 'missing.yaml')
    assert result.exit_status == ExitStatus.SETTINGS_ERROR
    assert result.stderr.startswith("comfreywind: missing.yaml: can't be read")


def test_usage_error() -> None:
    """Guards against an unknown command that ends with success."""
    assert run_program('no-such-command').exit_status == ExitStatus.USAGE_ERROR
