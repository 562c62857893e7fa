"""The command ``almonddock diff``."""

import difflib
from collections.abc import Generator, Iterator, Mapping
from dataclasses import dataclass

import orjson
import typer

from almonddock_cli._exits import ExitCode
from almonddock_cli._files import Folder, load_folder
from almonddock_cli._output import JsonFlag, fail, print_json
from almonddock_cli._store import (
    DEFAULT_PREFIX,
    StorePrefix,
    StoreUrls,
    run_store_steps,
)
from almonddock_core.configuration import (
    Head,
    StoreSteps,
    build_request,
    compare,
    compute_digests,
    read_documents,
    read_head,
)
from almonddock_core.model import StoreUnavailableError
from almonddock_core.store import StoreCall, StoreReply


@dataclass(frozen=True, slots=True)
class ServiceChange:
    """A service that differs between the store and the folder."""

    #: The service; ``.data-centres`` for the file of data centres.
    service: str
    #: ``added``, ``removed`` or ``changed``.
    kind: str
    #: The lines of a unified diff; empty if the service is new or removed.
    lines: tuple[str, ...]


def show_difference(
    folder: Folder,
    store: StoreUrls,
    prefix: StorePrefix = DEFAULT_PREFIX,
    as_json: JsonFlag = False,
) -> None:
    """Show what publishing the folder would change.

    Exit code 1 means that the store did not answer.
    """
    request = build_request(load_folder(folder, as_json=as_json), '')
    try:
        changes = run_store_steps(store, prefix, _find_changes(request.bodies))
    except StoreUnavailableError as error:
        fail(error.message, ExitCode.UNAVAILABLE)
    if as_json:
        print_json(changes)
        return
    for change in changes:
        typer.echo(f'{change.kind} {change.service}')
        for line in change.lines:
            typer.echo(f'  {line}')
    typer.echo(f'{len(changes)} services differ')


def _find_changes(
    wanted: Mapping[str, bytes],
) -> Generator[StoreCall, StoreReply, list[ServiceChange]]:
    head = yield from read_head()
    changed = compare(head.snapshot, compute_digests(wanted)).digests
    found = yield from _read_bodies(head, changed)
    return [
        ServiceChange(
            name,
            _classify_change(name in found, name in wanted),
            tuple(_diff_lines(found.get(name), wanted.get(name))),
        )
        for name in changed
    ]


def _read_bodies(
    head: Head,
    names: Mapping[str, object],
) -> StoreSteps[dict[str, bytes]]:
    digests = {
        name: head.snapshot[name] for name in names if name in head.snapshot
    }
    documents = yield from read_documents(digests.values())
    return {name: documents[digest] for name, digest in digests.items()}


def _classify_change(before: bool, after: bool) -> str:
    if before and after:
        return 'changed'
    return 'removed' if before else 'added'


def _diff_lines(
    before: bytes | None,
    after: bytes | None,
) -> Iterator[str]:
    if before is None or after is None:
        return iter(())
    lines = difflib.unified_diff(
        _split_lines(before),
        _split_lines(after),
        'in force',
        'folder',
        lineterm='',
        n=1,
    )
    return iter(lines)


def _split_lines(body: bytes) -> list[str]:
    text = orjson.dumps(orjson.loads(body), option=orjson.OPT_INDENT_2)
    return text.decode().splitlines()
