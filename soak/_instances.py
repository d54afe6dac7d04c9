"""Processes of the node program, started, disturbed and ended by their ids."""

import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import psutil

from fuchsiaroute.clock import Clock, Milliseconds

#: Time between the end of a process and its next start, as on the platform.
RESTART_DELAY = Milliseconds(400)
_POLL = Milliseconds(20)


@dataclass(frozen=True)
class Life:
    """One process: when it ran, and whether its end was asked for."""

    pid: int
    started_at: Milliseconds
    ended_at: Milliseconds
    was_asked: bool
    exit_code: int


class Instance:
    """One instance; its process is restarted after each end until ``close``."""

    def __init__(
        self, name: str, *, folder: Path, clock: Clock, grace: Milliseconds
    ) -> None:
        self.name = name
        self.lives: list[Life] = []
        self.peak_memory_mb = 0.0
        self._clock = clock
        self._grace = grace
        self._settings = folder / f"{name}.conf"
        self._step = folder / f"{name}.step"
        self._step.write_text("0")
        self._output = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._started_at = Milliseconds(0)
        self._is_end_asked = False

    @property
    def life(self) -> int:
        """Count of the processes that have ended."""
        return len(self.lives)

    def log_text(self) -> str:
        """Return what all processes of this instance have written."""
        return self._output.read_text(encoding="utf-8", errors="replace")

    def write_settings(self, text: str) -> None:
        """Replace the settings file in one step."""
        new = self._settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self._settings)

    def step_clock(self, step: Milliseconds) -> None:
        """Let the wall clock of the process differ by ``step`` milliseconds."""
        self._step.write_text(f"{step:d}")

    def start(self) -> None:
        """Start the process."""
        arguments = [str(self._step), "node", str(self._settings)]
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.program", *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._started_at = self._clock.now()
        self._is_end_asked = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_end_asked = True
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Ask the process to end, and kill it once its grace is over."""
        life = self.life
        self.signal(signal.SIGTERM)
        deadline = self._clock.now() + self._grace
        while self.life == life and self._clock.now() < deadline:
            await self._clock.sleep(_POLL)
        if self.life == life:
            self.signal(signal.SIGKILL)

    async def keep_running(self) -> None:
        """Start the process anew after each end."""
        while True:
            await self._clock.sleep(_POLL)
            if self._process is None:
                continue
            self._measure(self._process.pid)
            if self._process.poll() is None:
                continue
            self._record_end()
            await self._clock.sleep(RESTART_DELAY)
            self.start()

    def close(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is None:
            return
        self.signal(signal.SIGKILL)
        self._process.wait()
        self._record_end()

    def _record_end(self) -> None:
        assert self._process is not None
        self.lives.append(
            Life(
                pid=self._process.pid,
                started_at=self._started_at,
                ended_at=self._clock.now(),
                was_asked=self._is_end_asked,
                exit_code=self._process.returncode,
            )
        )
        self._process = None

    def _measure(self, pid: int) -> None:
        try:
            used = psutil.Process(pid).memory_info().rss / 2**20
        except psutil.NoSuchProcess:
            # It has ended since; the next look records that.
            return
        self.peak_memory_mb = max(self.peak_memory_mb, used)
