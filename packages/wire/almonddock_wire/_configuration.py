"""Encodes and decodes configuration heads and documents.

A head names the configuration in force on a host by its revision and digest.
"""

from datetime import timedelta
from typing import Any

from almonddock_core.configuration import (
    ConfigurationHead,
    Digest,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.model import Revision
from almonddock_wire._times import count_microseconds, make_duration


def fill_head(entry: Any, head: ConfigurationHead) -> None:
    """Fills an entry with the head of the configuration in force."""
    entry.revision = head.revision
    entry.digest = head.digest
    if head.confirmed is not None:
        entry.confirmed = count_microseconds(head.confirmed)


def read_head(entry: Any, now: timedelta) -> ConfigurationHead:
    """Returns the head of the configuration in force on a host."""
    confirmed = entry.confirmed
    return ConfigurationHead(
        Revision(entry.revision),
        Digest(entry.digest),
        None if confirmed < 0 else make_duration(confirmed),
    )


def write_head(frame: Any, head: ConfigurationHead, now: timedelta) -> None:
    """Fills a frame with the head of the configuration in force."""
    fill_head(frame.init('configurationHead'), head)


def write_document_request(
    frame: Any,
    request: DocumentRequest,
    now: timedelta,
) -> None:
    """Fills a frame with the digests of the requested documents."""
    frame.documentRequest = list(request.digests)


def read_document_request(digests: Any, now: timedelta) -> DocumentRequest:
    """Returns the digests of the requested documents."""
    return DocumentRequest(tuple(Digest(one) for one in digests))


def write_document_reply(
    frame: Any,
    reply: DocumentReply,
    now: timedelta,
) -> None:
    """Fills a frame with documents and the digests of missing ones."""
    entry = frame.init('documentReply')
    entry.documents = list(reply.documents)
    entry.missing = list(reply.missing)


def read_document_reply(entry: Any, now: timedelta) -> DocumentReply:
    """Returns documents and the digests of missing ones."""
    return DocumentReply(
        tuple(bytes(one) for one in entry.documents),
        tuple(Digest(one) for one in entry.missing),
    )
