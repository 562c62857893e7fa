"""The command ``almonddock publish``."""

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Annotated

import typer

from almonddock_cli._exits import ExitCode
from almonddock_cli._files import (
    Folder,
    load_folder,
    read_base_revision,
    report_findings,
    write_base_revision,
)
from almonddock_cli._hosts import call_host
from almonddock_cli._output import JsonFlag, fail, print_json
from almonddock_cli._store import (
    DEFAULT_PREFIX,
    StorePrefix,
    StoreUrls,
    run_store_steps,
)
from almonddock_core.configuration import (
    CleanRequest,
    NotPublished,
    Published,
    PublishRequest,
    PublishResult,
    PublishUnknown,
    Refused,
    Unchanged,
    build_request,
    clean,
    publish,
)
from almonddock_core.model import FindingsError, Revision

CHANGE_ID_BYTES = 8
POLL_INTERVAL_S = 0.2

OptionalHosts = Annotated[
    list[str],
    typer.Option(
        '--host',
        envvar='ALMONDDOCK_HOSTS',
        default_factory=list,
        help='Base URL of a host; may be given several times.',
    ),
]

BaseOption = Annotated[
    int | None,
    typer.Option(
        '--base',
        help='The revision from which the files were edited; by default the '
        'one as which the folder was last published.',
    ),
]


@dataclass(frozen=True, slots=True)
class HostRevision:
    """The revision in force on one host; 0 if it did not answer."""

    url: str
    revision: Revision


# Typer takes each option of the command from one parameter.
def publish_folder(  # noqa: WPS211
    folder: Folder,
    store: StoreUrls,
    host: OptionalHosts,
    base: BaseOption = None,
    prefix: StorePrefix = DEFAULT_PREFIX,
    wait: Annotated[
        float,
        typer.Option('--wait', help='Seconds to wait for every named host.'),
    ] = 0,
    as_json: JsonFlag = False,
) -> None:
    """Publish all files of the folder together, or none of them.

    Exit code 2: the files have faults. 3: another operator changed the same
    services. 1: nothing was published, or a host did not apply it in time.
    5: it is not known whether it was published; publish again to find out.
    """
    checked = load_folder(folder, as_json=as_json)
    request = build_request(checked, secrets.token_hex(CHANGE_ID_BYTES))
    base_revision = (
        Revision(base) if base is not None else read_base_revision(folder)
    )
    # A publish fails if the store has an older revision than a host, because
    # it then has lost data.
    newest_on_hosts = max(
        (one.revision for one in _read_revisions(host)),
        default=Revision(0),
    )
    request = replace(request, base=base_revision, min_revision=newest_on_hosts)
    accepted = _publish(store, prefix, request, as_json=as_json)
    write_base_revision(folder, accepted.revision)
    # Deletes old documents that are no longer in force.
    run_store_steps(store, prefix, clean(CleanRequest(request.change)))
    hosts = _await_hosts(host, accepted.revision, wait)
    _print_result(accepted, hosts, as_json=as_json)
    behind = [one for one in hosts if one.revision < accepted.revision]
    if wait and behind:
        raise typer.Exit(ExitCode.UNAVAILABLE)


def _publish(
    store: list[str],
    prefix: str,
    request: PublishRequest,
    *,
    as_json: bool,
) -> Published | Unchanged:
    try:
        published = run_store_steps(store, prefix, publish(request))
    except FindingsError as error:
        report_findings(error, as_json=as_json)
        raise typer.Exit(ExitCode.INVALID) from error
    if isinstance(published, Published | Unchanged):
        return published
    if as_json:
        print_json(
            {'outcome': type(published).__name__, 'result': published},
        )
    fail(*_describe_failure(published))


def _describe_failure(failed: PublishResult) -> tuple[str, ExitCode]:
    match failed:
        case Refused(revision, differences):
            names = ', '.join(one.service for one in differences)
            return (
                f'not published: revision {revision} changes {names} too; '
                'see "almonddock diff"',
                ExitCode.CONFLICT,
            )
        case PublishUnknown(change):
            return f'unknown outcome of change {change}', ExitCode.UNKNOWN
        case NotPublished(message):
            return f'not published: {message}', ExitCode.UNAVAILABLE
    raise TypeError(f'expected a failed publish, found {failed}')


def _read_revisions(urls: Sequence[str]) -> list[HostRevision]:
    replies = [call_host('GET', url, '/v1/status') for url in urls]
    return [
        HostRevision(one.url, Revision(one.body.get('revision', 0)))
        for one in replies
    ]


def _await_hosts(
    urls: Sequence[str],
    revision: Revision,
    wait: float,
) -> list[HostRevision]:
    end = time.monotonic() + wait
    found = _read_revisions(urls)
    while any(one.revision < revision for one in found):
        if time.monotonic() >= end:
            break
        time.sleep(POLL_INTERVAL_S)
        found = _read_revisions(urls)
    return found


def _print_result(
    accepted: Published | Unchanged,
    hosts: Sequence[HostRevision],
    *,
    as_json: bool,
) -> None:
    changed: Sequence[str] = ()
    if isinstance(accepted, Published):
        changed = tuple(accepted.changes.digests)
    if as_json:
        print_json(
            {
                'outcome': type(accepted).__name__,
                'revision': accepted.revision,
                'changed': changed,
                'hosts': hosts,
            },
        )
        return
    typer.echo(f'revision {accepted.revision}, {len(changed)} changed')
    for one in hosts:
        typer.echo(f'{one.url}: revision {one.revision}')
