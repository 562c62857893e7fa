"""Prints results for people or, with ``--json``, for programs."""

import sys
from typing import Annotated, Any, NoReturn

import orjson
import typer
from rich.console import Console

from almonddock_cli._exits import Exit

#: Where results go.
CONSOLE = Console()

#: Where errors and progress go, so that results can be piped.
ERRORS = Console(stderr=True)

JsonFlag = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON document.'),
]

HostUrls = Annotated[
    list[str],
    typer.Option(
        '--host',
        envvar='ALMONDDOCK_HOSTS',
        help='Base URL of an entry host; may be given several times.',
    ),
]


def print_json(document: Any) -> None:
    """Prints one JSON document, indented."""
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2, default=str)
    sys.stdout.write(f'{text.decode()}\n')


def fail(message: str, code: Exit) -> NoReturn:
    """Prints an error and ends the program with the code."""
    ERRORS.print(message, style='red', markup=False, highlight=False)
    raise typer.Exit(code)
