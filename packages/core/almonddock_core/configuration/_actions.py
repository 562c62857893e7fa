"""Actions that a ConfigurationState asks its host to carry out."""

from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.configuration._documents import Digest
from almonddock_core.configuration._messages import ConfigurationHead
from almonddock_core.deployment import Deployment
from almonddock_core.model import HostId

#: The host that documents are fetched from, or None for the store.
Source: TypeAlias = HostId | None


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request documents from a source and pass the reply to ``receive``."""

    source: Source
    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Apply a newer configuration, which is now active on this host."""

    deployment: Deployment


@dataclass(frozen=True, slots=True)
class Announce:
    """Send the active configuration's head to other hosts."""

    head: ConfigurationHead
    hosts: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class RaiseAlarm:
    """Count and log a fault that needs an operator's attention."""

    #: ``store_older``, ``forked`` (two contents for one revision) or
    #: ``invalid`` (a document that cannot be decoded).
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class RepairStore:
    """Write the active head back to the store, which has an older one."""


ConfigurationAction: TypeAlias = (
    Fetch | Install | Announce | RaiseAlarm | RepairStore
)
