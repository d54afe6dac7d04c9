"""Processes of the node program: start, signals, restart and stop."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import psutil

from fuchsiaroute.clock import Clock, Milliseconds

#: Delay before a process that has ended is started again, as on the platform.
RESTART_DELAY = Milliseconds(400)
_POLL_INTERVAL = Milliseconds(20)
_ROOT = Path(__file__).parents[1]
#: Started without the site module, as on the platform (``deploy/system.toml``): its
#: first line, from which on it ignores SIGHUP, comes sooner.
_PROGRAM = _ROOT / "soak" / "program.py"
_MODULE_PATH = os.pathsep.join(
    [str(_ROOT), *(path for path in sys.path if path.endswith("-packages"))]
)


@dataclass(frozen=True)
class EndedProcess:
    """One process that has ended; ``is_requested`` if the soak test ended it."""

    pid: int
    started_at: Milliseconds
    ended_at: Milliseconds
    is_requested: bool
    exit_code: int


class Instance:
    """One instance, whose process is restarted whenever it ends until ``close``."""

    def __init__(
        self, name: str, *, folder: Path, clock: Clock, grace: Milliseconds
    ) -> None:
        self.name = name
        self.ended_processes: list[EndedProcess] = []
        self.peak_memory_mb = 0.0
        #: When the first SIGTERM was sent, by process index.
        self.stopped_at: dict[int, Milliseconds] = {}
        self._clock = clock
        self._grace = grace
        self._settings_file = folder / f"{name}.conf"
        self._clock_step_file = folder / f"{name}.step"
        self._clock_step_file.write_text("0")
        self._log_file = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._started_at = Milliseconds(0)
        self._is_end_requested = False

    @property
    def process_index(self) -> int:
        """Index of the current process, from 0."""
        return len(self.ended_processes)

    def log_text(self) -> str:
        """Return the output of all processes of this instance."""
        return self._log_file.read_text(encoding="utf-8", errors="replace")

    def write_settings(self, text: str) -> None:
        """Replace the settings file atomically."""
        new = self._settings_file.with_suffix(".new")
        new.write_text(text)
        new.replace(self._settings_file)

    def step_clock(self, step: Milliseconds) -> None:
        """Set the offset of the process's wall clock to ``step`` milliseconds."""
        self._clock_step_file.write_text(f"{step:d}")

    def start(self) -> None:
        """Start the process."""
        arguments = [str(self._clock_step_file), "node", str(self._settings_file)]
        with self._log_file.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-S", "-P", str(_PROGRAM), *arguments],
                env=os.environ | {"PYTHONPATH": _MODULE_PATH},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._started_at = self._clock.now()
        self._is_end_requested = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_end_requested = True
        if number is signal.SIGTERM:
            self.stopped_at.setdefault(self.process_index, self._clock.now())
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL if the process runs after the grace period."""
        process_index = self.process_index
        if self._process is None:
            return
        self.signal(signal.SIGTERM)
        deadline = self.stopped_at[process_index] + self._grace
        while self.process_index == process_index and self._clock.now() < deadline:
            await self._clock.sleep(_POLL_INTERVAL)
        if self.process_index == process_index:
            self.signal(signal.SIGKILL)

    async def supervise(self) -> None:
        """Restart the process whenever it ends; runs until cancelled."""
        while True:
            await self._clock.sleep(_POLL_INTERVAL)
            if self._process is None:
                continue
            self._record_memory(self._process.pid)
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
        self.ended_processes.append(
            EndedProcess(
                pid=self._process.pid,
                started_at=self._started_at,
                ended_at=self._clock.now(),
                is_requested=self._is_end_requested,
                exit_code=self._process.returncode,
            )
        )
        self._process = None

    def _record_memory(self, pid: int) -> None:
        try:
            used = psutil.Process(pid).memory_info().rss / 2**20
        except psutil.NoSuchProcess:
            # The process has ended; the next poll records that.
            return
        self.peak_memory_mb = max(self.peak_memory_mb, used)
