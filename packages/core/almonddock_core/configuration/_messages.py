"""What hosts tell one another of the configuration."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.configuration._documents import Digest
from almonddock_core.model import Revision


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """What the sender has in force; carried by every probe."""

    revision: Revision = Revision(0)
    #: The digest of the root document; empty before the first one.
    digest: Digest = Digest('')
    #: How long ago the store is known to have said the same; None if never.
    confirmed: timedelta | None = None


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Asks a host for documents."""

    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class DocumentReply:
    """Documents that were asked for; some may need another request."""

    documents: tuple[bytes, ...]
    #: Documents that the sender does not have.
    missing: tuple[Digest, ...] = ()
