"""Starts, pauses and kills single processes of a test cluster."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT: Final = Path(__file__).resolve().parents[3]


def source_paths() -> str:
    """Return a PYTHONPATH of all source folders that the processes of a test cluster need."""
    paths = sorted(ROOT.glob("packages/*/src"))
    return os.pathsep.join(
        str(path) for path in [*paths, ROOT / "testkit" / "src", ROOT / "standins" / "src"]
    )


class ManagedProcess:
    """Child process that runs a Python module, with its log file.

    Args:
        name: Name of the process and of its log file.
        module: Module to run.
        arguments: Command-line arguments of the module.
        folder: Folder of the log file.
    """

    def __init__(self, *, name: str, module: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        """Name of the process and of its log file."""
        self.log_path = folder / f"{name}.log"
        """File to which standard output and standard error are appended."""
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id; the process must have been started."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "PYTHONPATH": source_paths()}
        with self.log_path.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            os.kill(self.pid, signal_number)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        self.wait(5.0)

    def terminate(self) -> None:
        """Ask the process to stop gracefully, with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout: float) -> int | None:
        """Wait for the process to end and return its exit code.

        Args:
            timeout: Longest wait in seconds.

        Returns:
            The exit code, or None if the process was never started or is still running.
        """
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def log_text(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""


def wait_until(condition: object, *, timeout: float, what: str, interval: float = 0.05) -> None:
    """Wait until a function returns a true value.

    Args:
        condition: The function.
        timeout: Longest wait in seconds.
        what: Description of the condition for the error message.
        interval: Seconds between two calls of the function.

    Raises:
        TimeoutError: If the value is not true in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():  # type: ignore[operator]
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout:g} s: {what}")
        time.sleep(interval)
