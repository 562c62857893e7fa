"""Organisations whose callers prove themselves with keys."""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

#: The bytes of a key's digest.
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Quota:
    """The requests that an organisation may send, over all hosts."""

    #: Requests a second.
    rate: float
    #: Requests beyond the rate, at once.
    burst: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation of the configuration."""

    name: str
    #: Its rank, which goes before that of a route; None if it has none.
    priority: int | None = None
    #: None if its requests are not limited.
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class OrganisationTable:
    """The organisations of one version, by the digests of their keys.

    Keys themselves are not kept, so that none reaches a log or a dump.
    """

    by_digest: Mapping[bytes, Organisation]

    def find(self, key: bytes) -> Organisation | None:
        """Returns the organisation that holds a key, None if none does."""
        return self.by_digest.get(digest_key(key))

    def list_all(self) -> tuple[Organisation, ...]:
        """Returns every organisation with a key, once each."""
        return tuple(
            {one.name: one for one in self.by_digest.values()}.values()
        )


def digest_key(key: bytes) -> bytes:
    """Returns what a key is looked up by."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def build_organisation_table(
    organisations: Iterable[tuple[Organisation, Iterable[bytes]]],
) -> OrganisationTable:
    """Builds the lookup of organisations, each with its keys.

    Raises:
        ValueError: a name stands twice, is empty or can't stand in a header,
            or two organisations hold one key; the message names the
            organisations, never the key.
    """
    listed = [(one, tuple(keys)) for one, keys in organisations]
    _check_names([one.name for one, _ in listed])
    by_digest: dict[bytes, Organisation] = {}
    for organisation, keys in listed:
        for digest in map(digest_key, keys):
            holder = by_digest.setdefault(digest, organisation)
            if holder is not organisation:
                raise ValueError(
                    f'{holder.name!r} and {organisation.name!r} hold one key'
                )
    return OrganisationTable(by_digest)


def _check_names(names: list[str]) -> None:
    repeated = [name for name, count in Counter(names).items() if count > 1]
    if '' in names or repeated:
        raise ValueError(f'a name is empty or stands twice: {repeated}')
    # Targets get the name in a header, which a line break would end.
    odd = [name for name in names if not name.isprintable()]
    if odd:
        raise ValueError(f'a name has characters that are not printed: {odd}')
