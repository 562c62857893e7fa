"""Processes of hosts get the signals and files that a fault asks for."""

import asyncio
import json
import pathlib
import signal
import tempfile
import unittest
from collections.abc import Callable
from datetime import timedelta
from unittest.mock import patch

from soak.processes import MAX_DESCRIPTORS, HostProcess

TIMEOUT_S = 30

#: Writes much to both outputs, then its limit of descriptors to a file.
TALKATIVE = """
import os, pathlib, resource, sys, time
while resource.getrlimit(resource.RLIMIT_NOFILE)[0] != 4100:
    time.sleep(0.01)
for descriptor in (1, 2):
    os.set_blocking(descriptor, False)
    try:
        while os.write(descriptor, b'x' * 4096):
            pass
    except BlockingIOError:
        pass
pathlib.Path(sys.argv[0] + '.done').touch()
time.sleep(600)
"""

#: Handles SIGHUP only after it was told to.
LATE = """
import pathlib, signal, sys, time
pathlib.Path(sys.argv[0] + '.begun').touch()
while not pathlib.Path(sys.argv[0] + '.go').exists():
    time.sleep(0.01)
signal.signal(signal.SIGHUP, lambda *_: sys.exit(7))
pathlib.Path(sys.argv[0] + '.ready').touch()
time.sleep(600)
"""


class HostProcessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.program = self.folder / 'program.py'
        patched = patch('soak.processes.PROGRAM', self.program)
        patched.start()
        self.addCleanup(patched.stop)
        self.process = HostProcess(0, {}, self.folder, timedelta)

    async def run_program(self, text: str) -> None:
        self.program.write_text(text)
        task = asyncio.create_task(self.process.run())
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(self.process.close)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def find(self, suffix: str) -> pathlib.Path:
        return self.folder / f'{self.program.name}.{suffix}'

    async def test_settings_are_written(self) -> None:
        self.process.write_settings({'a': 1})
        written = (self.folder / 'host-0.json').read_text()
        self.assertEqual(json.loads(written), {'a': 1})

    async def test_sighup_waits_for_a_handler_and_keeps_its_code(self) -> None:
        await self.run_program(LATE)
        await self.wait_until(self.find('begun').exists)
        self.process.send(signal.SIGHUP)
        self.find('go').touch()
        await self.wait_until(self.find('ready').exists)
        self.assertEqual(self.process.ends, [])
        self.process.send(signal.SIGHUP)
        await self.wait_until(lambda: self.process.ends)
        self.assertEqual(self.process.ends[0].code, 7)
        self.assertFalse(self.process.ends[0].requested)

    async def test_output_that_nobody_reads_is_kept_at_the_end(self) -> None:
        self.assertEqual(MAX_DESCRIPTORS, 4100)
        self.process.unread_output = True
        await self.run_program(TALKATIVE)
        await self.wait_until(self.find('done').exists)
        self.process.sample_memory()
        self.assertGreater(self.process.memory.size_bytes, 0)
        self.assertEqual(self.process.errors, '')
        self.process.send(signal.SIGKILL)
        await self.wait_until(lambda: self.process.ends)
        self.assertTrue(self.process.ends[0].requested)
        self.assertEqual(set(self.process.errors), {'x'})


if __name__ == '__main__':
    unittest.main()
