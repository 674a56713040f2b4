"""One process of a fleet on loopback."""

import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

STOP_TIMEOUT_S = 20


class FleetProcess:
    """A process started from a settings file; its output goes to a log file beside it."""

    def __init__(self, folder: Path, name: str, command: list[str], settings: Any) -> None:
        """Write the settings file; start nothing yet."""
        self.name = name
        self.log_path = folder / f'{name}.log'
        self._settings_path = folder / f'{name}.yaml'
        self._settings_path.write_text(yaml.safe_dump(settings), encoding='utf-8')
        self._command = command
        self.python_options: tuple[str, ...] = ()
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        if self._popen is None:
            raise RuntimeError(f'{self.name} is not running')
        return self._popen.pid

    def start(self) -> None:
        """Start the process."""
        arguments = [sys.executable, *self.python_options, '-m', 'comfreywind', *self._command]
        with self.log_path.open('ab') as log_file:
            self._popen = subprocess.Popen(
                [*arguments, '--settings', str(self._settings_path)],
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._popen is not None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Stop the process from running until `thaw`."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the process run on."""
        self.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Ask the process to end and return its exit status; kill it when it takes too long."""
        if self._popen is None:
            return 0
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def wait(self) -> int:
        """Wait for the end of the process and return its exit status."""
        return 0 if self._popen is None else self._popen.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def read_log(self) -> str:
        """Return what the process has logged so far."""
        return self.log_path.read_text(encoding='utf-8') if self.log_path.exists() else ''
