"""Digests of idempotency keys and their assignment to partitions."""

import hashlib
from collections.abc import Iterable
from typing import NewType

import xxhash

from almonddock_core.model import HostId, WorkloadId

#: The digest of a caller's key within its workload, 32 hexadecimal digits.
KeyDigest = NewType('KeyDigest', str)

#: The number of one partition of the key space.
PartitionId = NewType('PartitionId', int)

_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 8
_HEX_BASE = 16


def digest_key(workload: WorkloadId, key: str) -> KeyDigest:
    """Returns the digest that identifies the key in the log."""
    text = f'{workload}\0{key}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


def fingerprint_body(body: bytes) -> str:
    """Returns a short digest that detects a different body."""
    digest = hashlib.blake2b(body, digest_size=_FINGERPRINT_BYTES)
    return digest.hexdigest()


def find_partition(key: KeyDigest, partitions: int) -> PartitionId:
    """Returns the partition of the key."""
    return PartitionId(int(key, _HEX_BASE) % partitions)


def find_log_owner(
    partition: PartitionId,
    hosts: Iterable[HostId],
) -> HostId | None:
    """Returns the host that owns the partition (rendezvous hashing)."""
    return max(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(
            f'log {partition}\0{host}'.encode(),
        ),
        default=None,
    )
