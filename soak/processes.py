"""Runs the hosts of the system as local processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from almonddock_platform.tests.standins import SETTINGS_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / 'platform' / 'start.py'

#: The pause before a process that ended is started again, in seconds.
RESTART_PAUSE_S = 0.3

KIB = 1024


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end of one process of a host."""

    host: int
    #: Counts the processes of the host, from 1.
    incarnation: int
    at: timedelta
    code: int
    #: Whether the soak ended the process with a signal.
    requested: bool


class HostProcess:
    """Runs one host, and restarts it whenever its process ends."""

    def __init__(
        self,
        number: int,
        settings: Mapping[str, Any],
        folder: pathlib.Path,
        now: Callable[[], timedelta],
    ) -> None:
        """Writes the host's settings file; nothing is started yet."""
        self.incarnation = 0
        self.ends: list[ProcessEnd] = []
        #: The largest resident memory sampled, in bytes.
        self.memory = 0
        self._number = number
        self._now = now
        self._path = folder / f'host-{number}.json'
        self._log = folder / f'host-{number}.log'
        self._errors = folder / f'host-{number}.err'
        self._process: asyncio.subprocess.Process | None = None
        self._stop_requested = False
        self._closing = False
        self.write_settings(settings)

    @property
    def errors(self) -> str:
        """The output of this host's processes on standard error."""
        return self._errors.read_text() if self._errors.exists() else ''

    def write_settings(self, settings: Mapping[str, Any]) -> None:
        """Replaces the settings file atomically."""
        fresh = self._path.with_suffix('.new')
        fresh.write_text(json.dumps(settings))
        fresh.replace(self._path)

    async def run(self) -> None:
        """Keeps a process running until ``close`` is called."""
        while not self._closing:
            self.incarnation += 1
            self._stop_requested = False
            with self._log.open('ab') as log, self._errors.open('ab') as errors:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(PROGRAM),
                    stdout=log,
                    stderr=errors,
                    env={**os.environ, SETTINGS_VARIABLE: str(self._path)},
                )
                code = await self._process.wait()
            self.ends.append(
                ProcessEnd(
                    self._number,
                    self.incarnation,
                    self._now(),
                    code,
                    self._stop_requested or self._closing,
                ),
            )
            await asyncio.sleep(RESTART_PAUSE_S)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self._stop_requested = True
        process.send_signal(number)

    def sample_memory(self) -> None:
        """Samples the resident memory of the process and keeps the peak."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        status = pathlib.Path(f'/proc/{process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process ended after its return code was checked.
            return
        for line in lines:
            if line.startswith('VmRSS:'):
                self.memory = max(self.memory, int(line.split()[1]) * KIB)

    def close(self) -> None:
        """Kills the process and prevents its restart."""
        self._closing = True
        self.send(signal.SIGKILL)
