"""Injects the faults of a schedule, and reverts them when they end."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType

from almonddock_platform.tests.standins import StoreFault
from soak.installation import Installation
from soak.observations import FaultSpan
from soak.proxy import SILENT, UNIMPAIRED, PathImpairment, Proxy
from soak.returns import restore_store, write_again
from soak.schedule import Fault, FaultKind
from soak.settings import DATA_CENTRES
from soak.signals import kill_in_series, reload_in_series, stop_in_series
from soak.strangers import StrangerKind
from soak.targets import SoakTarget

#: The time that a fault allows for the restart of a host's process.
RESTART_TIME = timedelta(seconds=1)

#: The time that strangers have to open their connections, in seconds.
DIAL_TIME_S = 2.0

#: Delays that the proxies add on impaired paths, in seconds.
CALLER_DELAY_S = 0.15
LINK_DELAY_S = 0.1
TARGET_DELAY_S = 0.25

#: How long after a reply its copy is sent, in seconds: the connection has then
#: carried other requests, or waits for the reply to one.
LATE_COPY_S = 0.05

#: The pause after each configuration version and between checks of the store,
#: in seconds, and the number of versions in a series.
SERIES_PAUSE_S = 0.25
SERIES_LENGTH = 4

#: The least time that leases still run after a store fault ends, in seconds.
LEASE_GRACE_S = 2.0

STORE_FAULTS: Mapping[FaultKind, StoreFault] = MappingProxyType(
    {
        FaultKind.STORE_DOWN: StoreFault.DOWN,
        FaultKind.STORE_LAPSE: StoreFault.DOWN,
        FaultKind.STORE_SILENT: StoreFault.SILENT,
        FaultKind.STORE_SLOW: StoreFault.SLOW,
        FaultKind.STORE_LOSSY: StoreFault.LOSSY,
        FaultKind.STORE_STALLED: StoreFault.STALLED,
    },
)

#: Replies that are no answers of a store: documents of other kinds, nesting
#: that is too deep, and no HTTP.
RUBBISH = (
    *(
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (len(body), body)
        for body in (
            b'{}',
            b'[]',
            b'[' * 100_000,
            b'{"items": 1, "truncated": [], "current_rev": "x"}',
            b'{"events": [{}], "current_rev": 1e400}',
            b'\xff\x00',
        )
    ),
    b'HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n',
    b'HTTP/1.1 two OK\r\n\r\n',
    b'\x00' * 100,
)

PATH_IMPAIRMENTS: Mapping[FaultKind, PathImpairment] = MappingProxyType(
    {
        FaultKind.STORE_PATH_REFUSED: PathImpairment(refused=True),
        FaultKind.STORE_PATH_SILENT: SILENT,
        FaultKind.STORE_PATH_ENDLESS: PathImpairment(endless_body=True),
        FaultKind.STORE_PATH_RUBBISH: PathImpairment(replies=RUBBISH),
        FaultKind.CALLER_PATH_RESET: UNIMPAIRED,
        FaultKind.CALLER_PATH_DELAY: PathImpairment(delay_s=CALLER_DELAY_S),
        FaultKind.CALLER_PATH_ONE_WAY: PathImpairment(drops_downstream=True),
        FaultKind.LINK_SILENT: SILENT,
        FaultKind.LINK_RESET: UNIMPAIRED,
        FaultKind.LINK_DELAY: PathImpairment(delay_s=LINK_DELAY_S),
        FaultKind.LINK_ONE_WAY: PathImpairment(drops_downstream=True),
        FaultKind.TARGET_SLOW: PathImpairment(delay_s=TARGET_DELAY_S),
        FaultKind.TARGET_REFUSED: PathImpairment(refused=True),
        FaultKind.TARGET_SILENT: SILENT,
        FaultKind.TARGET_RESET: UNIMPAIRED,
        FaultKind.TARGET_DOUBLE: PathImpairment(doubled=True),
        FaultKind.TARGET_CUT: PathImpairment(cut=True),
        FaultKind.TARGET_HALF_HEAD: PathImpairment(half_head=True),
        FaultKind.TARGET_LATE_COPY: PathImpairment(copy_after_s=LATE_COPY_S),
        FaultKind.TARGET_ENDLESS: PathImpairment(endless=True),
    },
)

#: Kinds of faults that also reset the open connections of the path.
RESETTING_KINDS = frozenset(
    (
        FaultKind.STORE_PATH_REFUSED,
        FaultKind.CALLER_PATH_RESET,
        FaultKind.LINK_RESET,
        FaultKind.TARGET_REFUSED,
        FaultKind.TARGET_RESET,
    ),
)


#: The strangers of a kind of fault.
STRANGERS: Mapping[FaultKind, StrangerKind] = MappingProxyType(
    {
        FaultKind.CALLER_HALF_BODY: StrangerKind.HALF_BODY,
        FaultKind.CALLER_UNREAD: StrangerKind.UNREAD,
        FaultKind.LINK_JUNK: StrangerKind.JUNK,
        FaultKind.LINK_HALF_FRAME: StrangerKind.HALF_FRAME,
        FaultKind.LINK_IDLE: StrangerKind.IDLE_LINK,
        FaultKind.CALLER_IDLE: StrangerKind.IDLE_CALLER,
    },
)

#: Kinds of faults of targets that answer requests by themselves, not parts.
SINGLE_TARGET_KINDS = frozenset(
    (FaultKind.TARGET_LEAVE_UNLISTED, FaultKind.TARGET_REST),
)

#: Kinds of faults that send signals in series.
SERIES = frozenset(
    (
        FaultKind.HOST_RELOAD_SERIES,
        FaultKind.HOST_STOP_SERIES,
        FaultKind.HOST_KILL_SERIES,
    ),
)


class Injector:
    """Injects each kind of fault, and records when faults were active."""

    def __init__(self, installation: Installation) -> None:
        self.spans: list[FaultSpan] = []
        self.stops: list[tuple[int, timedelta]] = []
        self._installation = installation

    async def run(self, fault: Fault) -> None:
        """Injects one fault when it is due, and reverts it when it ends."""
        now = self._installation.now()
        await asyncio.sleep((fault.at - now).total_seconds())
        start = self._installation.now()
        copied = await restore_store(self._installation, fault)
        if copied is None:
            await self._select_handler(fault)(fault)
        end = self._installation.now()
        self.spans.append(FaultSpan(fault.kind, fault.subject, start, end))
        if copied is not None:
            await write_again(self._installation, copied)

    def _select_handler(self, fault: Fault) -> Callable:  # type: ignore[type-arg]
        if fault.kind in STORE_FAULTS:
            return self._disrupt_store
        if fault.kind in PATH_IMPAIRMENTS:
            return self._impair_path
        if fault.kind in STRANGERS:
            return self._send_strangers
        if fault.kind in SERIES:
            return self._signal_in_series
        if fault.kind is FaultKind.HOST_OVERLAP:
            return self._run_rival
        prefix = fault.kind.name.split('_')[0]
        return {
            'HOST': self._signal_host,
            'HERD': self._kill_all,
            'STORE': self._drop_history,
            'TARGET': self._disrupt_target,
            'CONFIGURATION': self._configure,
            'DATA': self._drain,
        }[prefix]

    async def _disrupt_store(self, fault: Fault) -> None:
        store = self._installation.store
        store_fault = STORE_FAULTS[fault.kind]
        store.fault = store_fault
        if fault.kind is FaultKind.STORE_STALLED:
            host = self._installation.hosts[fault.subject]
            host.process.send(signal.SIGKILL)
        if fault.kind is FaultKind.STORE_LAPSE:
            store.expire_leases(include_running=True)
            for target in self._installation.targets:
                target.expire_entry()
        await asyncio.sleep(fault.duration.total_seconds())
        if store.fault is store_fault:
            store.fault = StoreFault.NONE
            store.extend_leases(LEASE_GRACE_S)

    async def _drop_history(self, fault: Fault) -> None:
        self._installation.store.drop_history()

    async def _impair_path(self, fault: Fault) -> None:
        proxy = self._find_proxy(fault)
        if proxy is None:
            return
        impairment = PATH_IMPAIRMENTS[fault.kind]
        proxy.impairment = impairment
        if fault.kind in RESETTING_KINDS:
            proxy.reset_all()
        await asyncio.sleep(fault.duration.total_seconds())
        if proxy.impairment is impairment:
            proxy.impairment = UNIMPAIRED

    def _find_proxy(self, fault: Fault) -> Proxy | None:
        name = fault.kind.name
        if name.startswith('TARGET_'):
            return self._get_target(fault).proxy
        host = self._installation.hosts[fault.subject]
        if name.startswith('STORE_'):
            return host.store_proxy
        return (
            host.caller_proxy if name.startswith('CALLER_') else host.link_proxy
        )

    async def _send_strangers(self, fault: Fault) -> None:
        """Runs a process that misuses a port of a host for a time."""
        host = self._installation.hosts[fault.subject]
        kind = STRANGERS[fault.kind]
        port = (
            host.machine.link_port
            if fault.kind.name.startswith('LINK_')
            else host.machine.caller_port
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'soak.strangers',
            kind.name,
            host.machine.host,
            str(port),
            str(fault.at),
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await asyncio.sleep(fault.duration.total_seconds() + DIAL_TIME_S)
        finally:
            process.kill()
            await process.wait()

    async def _signal_in_series(self, fault: Fault) -> None:
        installation = self._installation
        host = installation.hosts[fault.subject]
        rng = random.Random(str(fault.at))
        if fault.kind is FaultKind.HOST_KILL_SERIES:
            await kill_in_series(host.process, rng)
        elif fault.kind is FaultKind.HOST_STOP_SERIES:
            grace = installation.settings.promises.grace
            self.stops.append((fault.subject, installation.now()))
            await stop_in_series(host.process, rng, grace)
        else:
            await reload_in_series(
                host.process, rng, lambda: installation.write_settings(host)
            )
        await asyncio.sleep(RESTART_TIME.total_seconds())

    async def _run_rival(self, fault: Fault) -> None:
        """Runs a host's next process before, and beside, its present one."""
        installation = self._installation
        grace = installation.settings.promises.grace
        rival = installation.start_rival(fault.subject)
        await asyncio.sleep(fault.duration.total_seconds())
        # The rival gets the ports, for which the host's next process waits.
        await self._stop_host(fault.subject)
        await asyncio.sleep(fault.duration.total_seconds())
        self.stops.append((fault.subject, installation.now()))
        await rival.stop(grace)
        await asyncio.sleep(RESTART_TIME.total_seconds())

    async def _signal_host(self, fault: Fault) -> None:
        host = self._installation.hosts[fault.subject]
        process = host.process
        if fault.kind is FaultKind.HOST_RELOAD:
            self._installation.reload(host)
        elif fault.kind is FaultKind.HOST_KILL:
            process.send(signal.SIGKILL)
            await asyncio.sleep(RESTART_TIME.total_seconds())
        elif fault.kind is FaultKind.HOST_PAUSE:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(fault.duration.total_seconds())
            process.send(signal.SIGCONT)
        elif fault.kind is FaultKind.HOST_OUTPUT_UNREAD:
            process.unread_output = True
            await self._stop_host(fault.subject)
            await asyncio.sleep(fault.duration.total_seconds())
            process.unread_output = False
        else:
            await self._stop_host(fault.subject)

    async def _stop_host(self, number: int) -> None:
        process = self._installation.hosts[number].process
        grace = self._installation.settings.promises.grace
        incarnation = process.incarnation
        start = self._installation.now()
        self.stops.append((number, start))
        process.send(signal.SIGTERM)
        while self._installation.now() < start + grace:
            await asyncio.sleep(0.1)
            if process.incarnation != incarnation:
                break
        else:
            process.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_TIME.total_seconds())

    async def _kill_all(self, fault: Fault) -> None:
        for host in self._installation.hosts:
            host.process.send(signal.SIGKILL)
        await asyncio.sleep(RESTART_TIME.total_seconds())

    async def _disrupt_target(self, fault: Fault) -> None:
        target = self._get_target(fault)
        kind = fault.kind
        if kind is FaultKind.TARGET_CRASH:
            await target.crash(fault.duration)
        elif kind is FaultKind.TARGET_COLD:
            target.turn_cold(fault.duration)
            target.send_heartbeat()
        elif kind in {FaultKind.TARGET_LEAVE, FaultKind.TARGET_VANISH}:
            await target.leave(
                self._installation.settings.promises.drain,
                silently=kind is FaultKind.TARGET_VANISH,
            )
        elif kind is FaultKind.TARGET_LEAVE_UNLISTED:
            await target.leave_unlisted(
                self._installation.settings.promises.drain
            )
        else:
            await self._disrupt_requests(fault, target)

    async def _disrupt_requests(self, fault: Fault, target: SoakTarget) -> None:
        working = target.working
        if working is None:
            return
        if fault.kind is FaultKind.TARGET_REST:
            working.rests_until = self._installation.now() + fault.duration
        elif fault.kind is FaultKind.TARGET_FAULTY:
            working.sample_failure = target.sample_failure
        else:
            working.drops_replies = True
        await asyncio.sleep(fault.duration.total_seconds())
        working.rests_until = None
        working.sample_failure = bool
        working.drops_replies = False

    async def _configure(self, fault: Fault) -> None:
        installation = self._installation
        series = fault.kind is FaultKind.CONFIGURATION_SERIES
        for turn in range(SERIES_LENGTH if series else 1):
            if (fault.subject + turn + round(fault.duration.microseconds)) % 2:
                installation.uses_archive = not installation.uses_archive
            else:
                installation.uses_second_index = (
                    not installation.uses_second_index
                )
            installation.configure()
            await asyncio.sleep(SERIES_PAUSE_S)

    async def _drain(self, fault: Fault) -> None:
        name = DATA_CENTRES[fault.subject]
        if not self._installation.drain(name):
            return
        await asyncio.sleep(fault.duration.total_seconds())
        while self._installation.store.fault is StoreFault.DOWN:
            await asyncio.sleep(SERIES_PAUSE_S)
        self._installation.undrain(name)

    def _get_target(self, fault: Fault) -> SoakTarget:
        targets = self._installation.targets
        if fault.kind in SINGLE_TARGET_KINDS:
            # Their checks need to know the host that sent a request, and a
            # query over shards may travel by another one.
            targets = [one for one in targets if one.is_single]
            return targets[fault.subject % len(targets)]
        return targets[fault.subject]
