import asyncio
import json
import pathlib
import tempfile
import threading
import unittest
from collections.abc import Coroutine
from typing import Any

from typer.testing import CliRunner

from almonddock_cli.program import APPLICATION
from almonddock_standins.deployments import build_gulf_south, write_files
from almonddock_standins.store import StandInStore, StoreFaults

PUBLISH = 'publish'
SHORTER_MS = 250
SHORTEST_MS = 240
TOO_LONG_MS = 99_000_000
#: 52 service files and data-centres.json.
FILES = 53
#: The exit codes for invalid files and for a conflicting publish.
INVALID = 2
CONFLICT = 3


class StoreThread:
    """Runs a stand-in store in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.store = StandInStore()
        self.address = self.call(self.store.start())

    def call(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def set_faults(self, faults: StoreFaults) -> None:
        done = threading.Event()
        self.loop.call_soon_threadsafe(self.store.switch_faults, faults)
        self.loop.call_soon_threadsafe(done.set)
        done.wait()

    def stop(self) -> None:
        self.call(self.store.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class PublishCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)
        write_files(build_gulf_south(), self.folder)
        self.store = StoreThread()
        self.addCleanup(self.store.stop)

    def run_command(self, name: str, *more: str) -> tuple[int, Any]:
        arguments = [name, str(self.folder), '--json', *more]
        if name != 'check':
            arguments += ['--store', f'http://{self.store.address}']
        done = CliRunner().invoke(APPLICATION, arguments)
        return done.exit_code, json.loads(done.stdout)

    def edit(self, deadline: int) -> None:
        path = self.folder / 'ticket-desk.json'
        service = json.loads(path.read_bytes())
        service['deadline_ms'] = deadline
        path.write_text(json.dumps(service))

    def test_check_publish_and_diff(self) -> None:
        self.assertEqual(
            self.run_command('check'),
            (0, {'findings': [], 'services': 52, 'targets': 107}),
        )
        code, first = self.run_command(PUBLISH)
        self.assertEqual((code, first['revision']), (0, 1))
        self.assertEqual(len(first['changed']), FILES)
        self.assertEqual(self.run_command('diff'), (0, []))
        self.edit(SHORTER_MS)
        code, changes = self.run_command('diff')
        self.assertEqual(
            [(one['service'], one['kind']) for one in changes],
            [('ticket-desk', 'changed')],
        )
        code, second = self.run_command(PUBLISH)
        self.assertEqual(second['changed'], ['ticket-desk'])
        self.assertEqual((code, second['revision']), (0, 2))

    def test_determines_the_outcome_after_lost_replies(self) -> None:
        self.run_command(PUBLISH)
        self.edit(SHORTER_MS)
        # Replies to the writes of three documents and the atomic swap of the
        # head.
        self.store.set_faults(StoreFaults(lost_replies=4))
        code, found = self.run_command(PUBLISH)
        self.assertEqual((code, found['revision']), (0, 2))

    def test_refuses_a_folder_edited_from_an_old_revision(self) -> None:
        self.run_command(PUBLISH)
        self.edit(SHORTER_MS)
        self.run_command(PUBLISH)
        self.edit(SHORTEST_MS)
        code, found = self.run_command(PUBLISH, '--base', '1')
        self.assertEqual((code, found['outcome']), (CONFLICT, 'Refused'))
        differences = found['result']['differences']
        self.assertEqual(differences[0]['service'], 'ticket-desk')

    def test_reports_every_fault_and_publishes_nothing(self) -> None:
        self.edit(TOO_LONG_MS)
        (self.folder / 'data-centres.json').unlink()
        for name in ('check', PUBLISH):
            code, found = self.run_command(name)
            self.assertEqual(code, INVALID)
            files = [one['file'] for one in found['findings']]
            self.assertEqual(files, ['data-centres.json', 'ticket-desk.json'])
        self.assertEqual(self.store.store.calls.total(), 0)

    def test_reports_that_nothing_was_published_in_an_outage(self) -> None:
        self.store.set_faults(StoreFaults(outage=True))
        code, found = self.run_command(PUBLISH)
        self.assertEqual((code, found['outcome']), (1, 'NotPublished'))
