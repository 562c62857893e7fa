"""What a configuration state asks its host to do."""

from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.configuration._documents import Digest
from almonddock_core.configuration._messages import ConfigurationHead
from almonddock_core.deployment import Deployment
from almonddock_core.model import HostId

#: Where documents come from: a host, or None for the store.
Source: TypeAlias = HostId | None


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a source for documents and hand the reply to ``receive``."""

    source: Source
    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """A newer configuration is in force on this host."""

    deployment: Deployment


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell other hosts of the configuration in force."""

    head: ConfigurationHead
    hosts: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class RaiseAlarm:
    """Something that operators must look at; count and log it."""

    #: ``store_older``, ``forked`` or ``invalid``.
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class RepairStore:
    """The store went back: write the head in force to it again."""


ConfigurationAction: TypeAlias = (
    Fetch | Install | Announce | RaiseAlarm | RepairStore
)
