"""The documents that make up the configuration in the store and on hosts.

A configuration is a Merkle tree of content-addressed documents: the
:class:`Root` lists buckets by digest, and a bucket lists the bodies of its
services. A change to one service creates one new body, one new bucket and one
new root, so a host fetches only these, however large the configuration is.
"""

import hashlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import field
from typing import NewType

import orjson
import xxhash
from pydantic import ConfigDict, TypeAdapter
from pydantic.dataclasses import dataclass

from almonddock_core.model import Revision

#: The digest of a document's bytes, in hexadecimal.
Digest = NewType('Digest', str)

#: Digests of the services' bodies, by service name, and of the data centres
#: document, under ``DATA_CENTRES``.
Snapshot = Mapping[str, Digest]

_DIGEST_BYTES = 16
_BUCKETS = 64


@dataclass(frozen=True, slots=True, config=ConfigDict(extra='ignore'))
class Root:
    """The root document of one published revision of the configuration."""

    #: Incremented by each published change.
    revision: Revision
    #: The id of the change that created this revision.
    change: str
    #: Ids of the preceding changes, newest first.
    earlier: tuple[str, ...] = ()
    #: The digest of the root that this one replaced; empty for the first.
    parent: Digest = Digest('')
    #: Digests of the bucket documents, by bucket name.
    buckets: Mapping[str, Digest] = field(default_factory=dict)


_ROOT = TypeAdapter(Root)
_BUCKET = TypeAdapter(dict[str, Digest])


def compute_digest(document: bytes) -> Digest:
    """Returns the digest that identifies a document."""
    computed = hashlib.blake2b(document, digest_size=_DIGEST_BYTES)
    return Digest(computed.hexdigest())


def normalise_body(body: bytes) -> bytes:
    """Returns the same JSON with sorted keys and without whitespace."""
    return orjson.dumps(orjson.loads(body), option=orjson.OPT_SORT_KEYS)


def encode_root(root: Root) -> bytes:
    """Returns the root's document."""
    return _ROOT.dump_json(root)


def decode_root(document: bytes) -> Root:
    """Returns the root; raises ValueError for any other document."""
    return _ROOT.validate_json(document)


def encode_buckets(snapshot: Snapshot) -> dict[str, bytes]:
    """Returns the bucket documents of a snapshot, by bucket name."""
    buckets: dict[str, dict[str, Digest]] = defaultdict(dict)
    for service in sorted(snapshot):
        buckets[_choose_bucket(service)][service] = snapshot[service]
    return {name: orjson.dumps(bucket) for name, bucket in buckets.items()}


def decode_bucket(document: bytes) -> dict[str, Digest]:
    """Returns a bucket's digests; raises ValueError for other documents."""
    return _BUCKET.validate_json(document)


def _choose_bucket(service: str) -> str:
    return f'{xxhash.xxh32_intdigest(service.encode()) % _BUCKETS:02x}'
