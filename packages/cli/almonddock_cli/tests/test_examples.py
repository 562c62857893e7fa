import pathlib
import tempfile
import unittest

from almonddock_cli._files import read_files
from almonddock_core.configuration import check_files
from tools.write_examples import EXAMPLES, ROOT, SCHEMAS, write_examples

TARGET_COUNTS = (('kyushu', 110), ('gulf-south', 107))


class ExamplesTest(unittest.TestCase):
    def test_committed_files_are_those_generated(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            write_examples(folder)
            for part in (
                SCHEMAS,
                *(f'{EXAMPLES}/{one}' for one, _ in TARGET_COUNTS),
            ):
                with self.subTest(part=part):
                    self.assertEqual(
                        read_files(ROOT / part), read_files(folder / part)
                    )

    def test_examples_have_no_fault_and_the_stated_sizes(self) -> None:
        for name, targets in TARGET_COUNTS:
            checked = check_files(read_files(ROOT / EXAMPLES / name))
            counts = [len(service.targets) for service in checked.services]
            self.assertEqual(sum(counts), targets)
