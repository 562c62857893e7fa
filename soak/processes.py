"""Runs the hosts of the system as local processes."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import resource
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

#: The most descriptors of a host's process: the users' smallest machine has
#: as many.
MAX_DESCRIPTORS = 4100

#: The sets of signals in the status of a process of which none ends it:
#: blocked, ignored and caught.
HELD_SIGNALS = frozenset(('SigBlk:', 'SigIgn:', 'SigCgt:'))
HEXADECIMAL = 16

#: The most that is read of a pipe that nobody has read, in bytes.
PIPE_BYTES = 0x100000


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


@dataclass(frozen=True, slots=True)
class MemoryPeak:
    """The largest resident memory of the processes of a host."""

    host: int
    #: When it was first seen.
    at: timedelta
    size_bytes: int


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
        self.memory = MemoryPeak(number, timedelta(), 0)
        self.number = number
        self._now = now
        self._path = folder / f'host-{number}.json'
        self._log = folder / f'host-{number}.log'
        self._errors = folder / f'host-{number}.err'
        self._process: asyncio.subprocess.Process | None = None
        self._pidfd = -1
        self._stop_requested = False
        self._closing = False
        #: Whether the next process gets pipes that nobody reads as its output.
        self.unread_output = False
        self.write_settings(settings)

    @property
    def pid(self) -> int:
        """The id of the running process; 0 without one."""
        return 0 if self._process is None else self._process.pid

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
            run = self._run_unread if self.unread_output else self._run_logged
            code = await run()
            self.ends.append(
                ProcessEnd(
                    self.number,
                    self.incarnation,
                    self._now(),
                    code,
                    self._stop_requested or self._closing,
                ),
            )
            await asyncio.sleep(RESTART_PAUSE_S)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running.

        Until the interpreter runs its first line, SIGHUP is not sent: no
        program can handle it so early (docs/incidents/014).
        """
        if self._pidfd < 0:
            return
        if number == signal.SIGHUP and not self._holds(number):
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self._stop_requested = True
        # Process.send_signal would reap the process, and lose its exit code.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, number)

    def sample_memory(self) -> None:
        """Keeps the peak of the resident memory of the process."""
        peak = self._read_status().get('VmHWM:')
        size_bytes = int(peak or 0) * KIB
        if size_bytes > self.memory.size_bytes:
            self.memory = MemoryPeak(self.number, self._now(), size_bytes)

    async def stop(self, grace: timedelta) -> None:
        """Asks the process to stop, and kills it if it does not in time."""
        self._closing = True
        process = self._process
        self.send(signal.SIGTERM)
        if process is None:
            return
        try:
            await asyncio.wait_for(process.wait(), grace.total_seconds())
        except TimeoutError:
            self.send(signal.SIGKILL)
            await process.wait()

    def close(self) -> None:
        """Kills the process and prevents its restart."""
        self._closing = True
        self.send(signal.SIGKILL)

    async def _run_logged(self) -> int:
        with self._log.open('ab') as log, self._errors.open('ab') as errors:
            return await self._run_process(log.fileno(), errors.fileno())

    async def _run_unread(self) -> int:
        """Runs a process whose output nobody reads before its end."""
        pipes = [os.pipe(), os.pipe()]
        try:
            code = await self._run_process(*(write for _, write in pipes))
            for path, (read, _) in zip(
                (self._log, self._errors), pipes, strict=True
            ):
                os.set_blocking(read, False)
                with path.open('ab') as output, contextlib.suppress(OSError):
                    output.write(os.read(read, PIPE_BYTES))
        finally:
            for descriptor in itertools.chain(*pipes):
                os.close(descriptor)
        return code

    async def _run_process(self, output: int, errors: int) -> int:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            stdout=output,
            stderr=errors,
            env={**os.environ, SETTINGS_VARIABLE: str(self._path)},
        )
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        self._pidfd = os.pidfd_open(process.pid)
        self._process = process
        try:
            return await process.wait()
        finally:
            os.close(self._pidfd)
            self._pidfd = -1

    def _holds(self, number: signal.Signals) -> bool:
        """Whether the process blocks, ignores or handles a signal."""
        status = self._read_status()
        held = 0
        for name in HELD_SIGNALS:
            held |= int(status.get(name, '0'), HEXADECIMAL)
        return bool(held >> number - 1 & 1)

    def _read_status(self) -> dict[str, str]:
        """Returns the first word of each line of its status; empty if none."""
        process = self._process
        if process is None or process.returncode is not None:
            return {}
        status = pathlib.Path(f'/proc/{process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process ended after its return code was checked.
            return {}
        rows = (line.split(maxsplit=2)[:2] for line in lines)
        return {row[0]: row[1] for row in rows if len(row) == 2}
