"""Carries out the faults of a schedule, and lifts them again."""

import asyncio
import signal
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType

from almonddock_platform.tests.standins import StoreTrouble
from soak.installation import Installation
from soak.observations import FaultSpan
from soak.proxy import SILENT, SOUND, PathTrouble, Proxy
from soak.schedule import Fault, FaultKind
from soak.settings import DATA_CENTRES
from soak.targets import SoakTarget

#: How long a host is away after its process was killed: its restart.
RESTART = timedelta(seconds=1)

#: What the delays add, in seconds.
CALLER_DELAY_S = 0.15
LINK_DELAY_S = 0.1
TARGET_DELAY_S = 0.25

#: The pause between two versions of a series, and their number.
SERIES_PAUSE_S = 0.25
SERIES_LENGTH = 4

#: The time given to leases after the store was away.
LEASE_GRACE_S = 2.0

STORE_TROUBLES: Mapping[FaultKind, StoreTrouble] = MappingProxyType(
    {
        FaultKind.STORE_DOWN: StoreTrouble.DOWN,
        FaultKind.STORE_LAPSE: StoreTrouble.DOWN,
        FaultKind.STORE_SILENT: StoreTrouble.SILENT,
        FaultKind.STORE_SLOW: StoreTrouble.SLOW,
        FaultKind.STORE_LOSSY: StoreTrouble.LOSSY,
    },
)

PATH_TROUBLES: Mapping[FaultKind, PathTrouble] = MappingProxyType(
    {
        FaultKind.STORE_PATH_REFUSED: PathTrouble(refused=True),
        FaultKind.STORE_PATH_SILENT: SILENT,
        FaultKind.CALLER_PATH_RESET: SOUND,
        FaultKind.CALLER_PATH_DELAY: PathTrouble(delay_s=CALLER_DELAY_S),
        FaultKind.CALLER_PATH_ONE_WAY: PathTrouble(drops_downstream=True),
        FaultKind.LINK_SILENT: SILENT,
        FaultKind.LINK_RESET: SOUND,
        FaultKind.LINK_DELAY: PathTrouble(delay_s=LINK_DELAY_S),
        FaultKind.LINK_ONE_WAY: PathTrouble(drops_downstream=True),
        FaultKind.TARGET_SLOW: PathTrouble(delay_s=TARGET_DELAY_S),
        FaultKind.TARGET_REFUSED: PathTrouble(refused=True),
        FaultKind.TARGET_SILENT: SILENT,
        FaultKind.TARGET_RESET: SOUND,
        FaultKind.TARGET_DOUBLE: PathTrouble(doubled=True),
        FaultKind.TARGET_CUT: PathTrouble(cut=True),
    },
)

#: Kinds that also reset the connections that are open.
RESETTING = frozenset(
    (
        FaultKind.STORE_PATH_REFUSED,
        FaultKind.CALLER_PATH_RESET,
        FaultKind.LINK_RESET,
        FaultKind.TARGET_REFUSED,
        FaultKind.TARGET_RESET,
    ),
)


class Injector:
    """Knows what to do for each kind of fault, and what was done."""

    def __init__(self, installation: Installation) -> None:
        self.spans: list[FaultSpan] = []
        self.stops: list[tuple[int, timedelta]] = []
        self._installation = installation

    async def run(self, fault: Fault) -> None:
        """Injects one fault when it is due, and lifts it when it ends."""
        now = self._installation.now()
        await asyncio.sleep((fault.at - now).total_seconds())
        start = self._installation.now()
        await self._choose(fault)(fault)
        end = self._installation.now()
        self.spans.append(FaultSpan(fault.kind, fault.subject, start, end))

    def _choose(self, fault: Fault) -> Callable:  # type: ignore[type-arg]
        if fault.kind in STORE_TROUBLES:
            return self._trouble_store
        if fault.kind in PATH_TROUBLES:
            return self._trouble_path
        family = fault.kind.name.split('_')[0]
        return {
            'HOST': self._signal_host,
            'HERD': self._kill_all,
            'STORE': self._drop_history,
            'TARGET': self._trouble_target,
            'CONFIGURATION': self._configure,
            'DATA': self._drain,
        }[family]

    async def _trouble_store(self, fault: Fault) -> None:
        store = self._installation.store
        trouble = STORE_TROUBLES[fault.kind]
        store.trouble = trouble
        if fault.kind is FaultKind.STORE_LAPSE:
            store.expire_leases(everything=True)
            for target in self._installation.targets:
                target.lapse()
        await asyncio.sleep(fault.lasts.total_seconds())
        if store.trouble is trouble:
            store.trouble = StoreTrouble.NONE
            store.extend_leases(LEASE_GRACE_S)

    async def _drop_history(self, fault: Fault) -> None:
        self._installation.store.drop_history()

    async def _trouble_path(self, fault: Fault) -> None:
        proxy = self._find_proxy(fault)
        if proxy is None:
            return
        trouble = PATH_TROUBLES[fault.kind]
        proxy.trouble = trouble
        if fault.kind in RESETTING:
            proxy.reset_all()
        await asyncio.sleep(fault.lasts.total_seconds())
        if proxy.trouble is trouble:
            proxy.trouble = SOUND

    def _find_proxy(self, fault: Fault) -> Proxy | None:
        name = fault.kind.name
        if name.startswith('TARGET_'):
            return self._get_target(fault).proxy
        host = self._installation.hosts[fault.subject]
        if name.startswith('STORE_'):
            return host.store
        return host.callers if name.startswith('CALLER_') else host.links

    async def _signal_host(self, fault: Fault) -> None:
        host = self._installation.hosts[fault.subject]
        process = host.process
        if fault.kind is FaultKind.HOST_RELOAD:
            self._installation.reload(host)
        elif fault.kind is FaultKind.HOST_KILL:
            process.send(signal.SIGKILL)
            await asyncio.sleep(RESTART.total_seconds())
        elif fault.kind is FaultKind.HOST_PAUSE:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts.total_seconds())
            process.send(signal.SIGCONT)
        else:
            await self._stop_host(fault.subject)

    async def _stop_host(self, number: int) -> None:
        process = self._installation.hosts[number].process
        grace = self._installation.settings.promises.grace
        lifetime = process.lifetime
        start = self._installation.now()
        self.stops.append((number, start))
        process.send(signal.SIGTERM)
        while self._installation.now() < start + grace:
            await asyncio.sleep(0.1)
            if process.lifetime != lifetime:
                break
        else:
            process.send(signal.SIGKILL)
        await asyncio.sleep(RESTART.total_seconds())

    async def _kill_all(self, fault: Fault) -> None:
        for host in self._installation.hosts:
            host.process.send(signal.SIGKILL)
        await asyncio.sleep(RESTART.total_seconds())

    async def _trouble_target(self, fault: Fault) -> None:
        target = self._get_target(fault)
        kind = fault.kind
        if kind is FaultKind.TARGET_CRASH:
            await target.crash(fault.lasts)
        elif kind is FaultKind.TARGET_COLD:
            target.turn_cold(fault.lasts)
            target.beat()
        elif kind in {FaultKind.TARGET_LEAVE, FaultKind.TARGET_VANISH}:
            await target.leave(
                self._installation.settings.promises.drain,
                silently=kind is FaultKind.TARGET_VANISH,
            )
        else:
            await self._disturb_work(fault, target)

    async def _disturb_work(self, fault: Fault, target: SoakTarget) -> None:
        working = target.working
        if working is None:
            return
        if fault.kind is FaultKind.TARGET_FAULTY:
            working.draw_failure = target.draw_failure
        else:
            working.losing = True
        await asyncio.sleep(fault.lasts.total_seconds())
        working.draw_failure = bool
        working.losing = False

    async def _configure(self, fault: Fault) -> None:
        installation = self._installation
        series = fault.kind is FaultKind.CONFIGURATION_SERIES
        for turn in range(SERIES_LENGTH if series else 1):
            if (fault.subject + turn + round(fault.lasts.microseconds)) % 2:
                installation.archived = not installation.archived
            else:
                installation.recut = not installation.recut
            installation.configure()
            await asyncio.sleep(SERIES_PAUSE_S)

    async def _drain(self, fault: Fault) -> None:
        name = DATA_CENTRES[fault.subject]
        if not self._installation.drain(name):
            return
        await asyncio.sleep(fault.lasts.total_seconds())
        while self._installation.store.trouble is StoreTrouble.DOWN:
            await asyncio.sleep(SERIES_PAUSE_S)
        self._installation.take_back(name)

    def _get_target(self, fault: Fault) -> SoakTarget:
        return self._installation.targets[fault.subject]
