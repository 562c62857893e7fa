"""Messages between hosts about the configuration."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.configuration._documents import Digest
from almonddock_core.model import Revision


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The sender's active root, in membership messages and announcements."""

    revision: Revision = Revision(0)
    #: The digest of the root document; empty before the first one.
    digest: Digest = Digest('')
    #: The time since the store was known to have the same head; None if it
    #: never was.
    confirmed: timedelta | None = None


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Asks a host for documents."""

    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class DocumentReply:
    """Requested documents; a large reply omits some, to be asked for again."""

    documents: tuple[bytes, ...]
    #: Documents that the sender does not have.
    missing: tuple[Digest, ...] = ()
