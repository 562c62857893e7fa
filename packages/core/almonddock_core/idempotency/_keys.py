"""Digests of idempotency keys and the partition each belongs to."""

import hashlib
from collections.abc import Iterable
from typing import NewType

import xxhash

from almonddock_core.model import HostId, WorkloadId

#: A caller's key within its workload, as 32 hexadecimal digits.
KeyDigest = NewType('KeyDigest', str)

#: One part of the key space.
PartitionId = NewType('PartitionId', int)

_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 8
_HEX = 16


def digest_key(workload: WorkloadId, key: str) -> KeyDigest:
    """Returns the digest that stands for the key in the log."""
    text = f'{workload}\0{key}'.encode()
    found = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return KeyDigest(found.hexdigest())


def fingerprint_body(body: bytes) -> str:
    """Returns a short digest that tells whether a body is the same."""
    found = hashlib.blake2b(body, digest_size=_FINGERPRINT_BYTES)
    return found.hexdigest()


def find_partition(key: KeyDigest, partitions: int) -> PartitionId:
    """Returns the partition that the key belongs to."""
    return PartitionId(int(key, _HEX) % partitions)


def find_log_owner(
    partition: PartitionId,
    hosts: Iterable[HostId],
) -> HostId | None:
    """Returns the host that serves the partition (rendezvous hash)."""
    return max(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(
            f'log {partition}\0{host}'.encode(),
        ),
        default=None,
    )
