"""Merges the records of several shards."""

import heapq
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import replace

from almonddock_core.dispatch._requests import ReplyKind, TargetReply

#: The size of one record in bytes, fixed by the format of target replies.
RECORD_BYTES = 16

#: How many bytes of a body are split into records at once: as objects, records
#: take several times their size.
BATCH_BYTES = 0x10000
MAX_OBJECTS = BATCH_BYTES // RECORD_BYTES


def merge_records(
    bodies: Iterable[bytes],
    top: int,
    threshold: bytes = b'',
) -> bytes:
    """Returns the greatest ``top`` records, greatest first.

    Records are compared byte by byte and equal ones all count. Trailing
    bytes that are shorter than a record are ignored. Records that are not
    above ``threshold`` are left out: the host that gives it has enough
    records that are at least as great.
    """
    if top > MAX_OBJECTS:
        return _merge_many(bodies, top, threshold)
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        for first in range(0, whole, BATCH_BYTES):
            records.extend(
                body[start : start + RECORD_BYTES]
                for start in range(
                    first, min(first + BATCH_BYTES, whole), RECORD_BYTES
                )
            )
            if whole > BATCH_BYTES:
                records.sort(reverse=True)
                del records[top:]
    if threshold:
        records = [record for record in records if record > threshold]
    records.sort(reverse=True)
    return b''.join(records[:top])


def _merge_many(bodies: Iterable[bytes], top: int, threshold: bytes) -> bytes:
    """Merges more records than may exist as objects at a time."""
    runs = [
        _sort_records(body[first : first + BATCH_BYTES])
        for body in bodies
        for first in range(0, len(body), BATCH_BYTES)
    ]
    merged = bytearray()
    greatest = heapq.merge(*map(_iterate_records, runs), reverse=True)
    for record in itertools.islice(greatest, top):
        if record <= threshold:
            break
        merged += record
    return bytes(merged)


def _sort_records(batch: bytes) -> bytes:
    return b''.join(sorted(_iterate_records(batch), reverse=True))


def _iterate_records(batch: bytes) -> Iterator[bytes]:
    whole = len(batch) - len(batch) % RECORD_BYTES
    for start in range(0, whole, RECORD_BYTES):
        yield batch[start : start + RECORD_BYTES]


def trim_reply(reply: TargetReply, top: int) -> TargetReply:
    """Returns the reply of a shard with only its greatest ``top`` records."""
    if reply.kind is not ReplyKind.SUCCESS:
        return reply
    if len(reply.body) <= top * RECORD_BYTES:
        return reply
    return replace(reply, body=merge_records((reply.body,), top))


def find_threshold(merged: bytes, top: int) -> bytes:
    """Returns the least of ``top`` merged records; empty if they are fewer.

    Further records that are not greater do not change the greatest ``top``.
    """
    whole = len(merged) >= top * RECORD_BYTES
    return merged[-RECORD_BYTES:] if whole else b''


def merge_replies(replies: Iterable[TargetReply], top: int) -> bytes:
    """Returns the greatest records of replies; each group counts once."""
    bodies = []
    groups = {}
    for reply in replies:
        if reply.group is None:
            bodies.append(reply.body)
        else:
            groups[id(reply.group)] = reply.group.records
    return merge_records((*bodies, *groups.values()), top)
