"""What a platform's adapter passes to a host."""

from collections.abc import Callable
from dataclasses import dataclass

from almonddock_core.memory import HostMemory
from almonddock_core.model import Clock
from almonddock_gateway.controllers import Decoders
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import Store


@dataclass(frozen=True, slots=True)
class HostAdapter:
    """The platform as a host uses it."""

    store: Store
    #: For the values in the store.
    decoders: Decoders
    #: Reads the settings again.
    reload: Callable[[], GatewaySettings]
    #: The file descriptor of the log, which becomes non-blocking.
    output: int
    #: Bounds what all parts hold, the store included.
    memory: HostMemory
    #: Counts the time in which the machine was suspended.
    suspended_clock: Clock
