import pathlib
import socket
import tempfile
import unittest

from typer.testing import CliRunner

from almonddock_daemon.program import (
    APPLICATION,
    EXIT_CANNOT_LISTEN,
    EXIT_INVALID_SETTINGS,
)
from almonddock_daemon.tests.test_settings import build_text


class ProgramTest(unittest.TestCase):
    def run_program(self, text: bytes, *options: str) -> int:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'host.json'
            path.write_bytes(text)
            arguments = ['--settings', str(path), *options]
            return CliRunner().invoke(APPLICATION, arguments).exit_code

    def test_settings_are_checked_before_anything_starts(self) -> None:
        self.assertEqual(
            self.run_program(build_text(host=1)),
            EXIT_INVALID_SETTINGS,
        )
        self.assertEqual(self.run_program(build_text(), '--check-settings'), 0)

    def test_an_address_in_use_ends_the_program(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as taken:
            port = taken.getsockname()[1]
            listen = {'http': '127.0.0.1:1', 'link': f'127.0.0.1:{port}'}
            self.assertEqual(
                self.run_program(build_text(listen=listen)),
                EXIT_CANNOT_LISTEN,
            )
