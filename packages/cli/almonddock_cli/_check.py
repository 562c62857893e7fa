"""The command ``almonddock check``."""

from almonddock_cli._files import Folder, load_folder
from almonddock_cli._output import CONSOLE, JsonFlag, print_json


def check_folder(folder: Folder, as_json: JsonFlag = False) -> None:
    """Report every fault in all files, without any connection.

    Exit code 2 means that faults were found.
    """
    checked = load_folder(folder, as_json=as_json)
    targets = sum(len(service.targets) for service in checked.services)
    if as_json:
        counts = {'services': len(checked.services), 'targets': targets}
        print_json({'findings': [], **counts})
    else:
        CONSOLE.print(
            f'{len(checked.services)} services with {targets} targets: '
            'no faults found',
        )
