"""The settings of one host, as validated data classes."""

from datetime import timedelta
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, StringConstraints
from pydantic.dataclasses import dataclass

from almonddock_core.deployment import Address, Name

SETTINGS_CONFIG = ConfigDict(extra='forbid', strict=True, allow_inf_nan=False)

KIBIBYTE = 1024
BODY_KIBIBYTES = 256
BODY_BYTES = BODY_KIBIBYTES * KIBIBYTE
MAX_BODY_BYTES = 4 * KIBIBYTE * KIBIBYTE
MAX_QUERIES = 100_000
MAX_PERIOD_MS = 600_000

Url = Annotated[str, StringConstraints(pattern=r'^http://[^/\s]+$')]
PeriodMs = Annotated[int, Field(ge=1, le=MAX_PERIOD_MS)]


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class ListenSettings:
    """Where the host accepts connections."""

    #: For callers and operators, over HTTP.
    http: Address
    #: For links from other hosts.
    link: Address


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class StoreSettings:
    """The platform's key-value store."""

    #: The addresses of the store, tried in turn.
    endpoints: Annotated[tuple[Url, ...], Field(min_length=1)]
    #: Prepended to every key, so that deployments can share a store.
    prefix: str = '/almonddock/'
    timeout_ms: PeriodMs = 1000

    @property
    def timeout(self) -> timedelta:
        """How long one call to the store may take."""
        return timedelta(milliseconds=self.timeout_ms)


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class HostListSettings:
    """The platform's list of hosts."""

    url: Url
    #: How often the list is read.
    period_ms: PeriodMs = 1000

    @property
    def period(self) -> timedelta:
        """The time between two reads of the list."""
        return timedelta(milliseconds=self.period_ms)


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class LimitSettings:
    """Limits on the work that the host accepts."""

    #: Queries that this host runs concurrently as entry host.
    queries: Annotated[int, Field(ge=1, le=MAX_QUERIES)] = 2000
    #: The largest body of a query, in bytes.
    body_bytes: Annotated[int, Field(ge=1, le=MAX_BODY_BYTES)] = BODY_BYTES


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class LogSettings:
    """The level of the structured logs, which go to stderr."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class TraceSettings:
    """How traces are sampled and exported."""

    #: ``otlp`` exports over HTTP, ``lines`` writes JSON lines to stderr.
    export: Literal['none', 'lines', 'otlp'] = 'none'
    #: The collector; needed for ``otlp`` only.
    endpoint: Url | None = None
    #: The share of queries traced, from 0 to 1.
    share: Annotated[float, Field(ge=0, le=1)] = 0.01


@dataclass(frozen=True, slots=True, config=SETTINGS_CONFIG)
class HostSettings:
    """The whole settings file of a host."""

    host: Name
    data_centre: Name
    listen: ListenSettings
    store: StoreSettings
    host_list: HostListSettings
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
    #: The seed of all random choices; absent for a random one.
    seed: int | None = None
