"""Draws the faults of a run from its seed."""

import enum
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from soak.settings import DATA_CENTRES, SoakSettings


class FaultKind(enum.Enum):
    """What is done, and to what."""

    HOST_STOP = 'host asked to stop'
    HOST_KILL = 'host killed'
    HOST_PAUSE = 'host paused'
    HOST_RELOAD = 'host told to read its settings'
    HERD_KILL = 'all hosts killed'
    STORE_DOWN = 'store down'
    STORE_LAPSE = 'store down, leases and entries lapse'
    STORE_SILENT = 'store silent'
    STORE_SLOW = 'store slow'
    STORE_LOSSY = 'store loses answers'
    STORE_COMPACT = 'store forgets its history'
    STORE_PATH_REFUSED = 'store refuses a host'
    STORE_PATH_SILENT = 'store silent to a host'
    CALLER_PATH_RESET = 'connections of callers reset'
    CALLER_PATH_DELAY = 'callers delayed'
    CALLER_PATH_ONE_WAY = 'answers to callers lost'
    LINK_SILENT = 'links to a host silent'
    LINK_RESET = 'links to a host reset'
    LINK_DELAY = 'links to a host delayed'
    LINK_ONE_WAY = 'answers on links to a host lost'
    TARGET_SLOW = 'target slow'
    TARGET_REFUSED = 'target refuses connections'
    TARGET_SILENT = 'target silent'
    TARGET_RESET = 'connections to a target reset'
    TARGET_DOUBLE = 'target sends replies twice'
    TARGET_CUT = 'replies of a target cut short'
    TARGET_FAULTY = 'target fails requests'
    TARGET_LOSING = 'target runs requests and loses the replies'
    TARGET_CRASH = 'target crashes'
    TARGET_LEAVE = 'target leaves'
    TARGET_VANISH = 'entry of a target removed while it serves'
    TARGET_COLD = 'target turns cold'
    CONFIGURATION = 'configuration changed'
    CONFIGURATION_SERIES = 'configurations in quick succession'
    DATA_CENTRE_OUT = 'data centre taken out'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule."""

    #: Since the start of the run.
    at: timedelta
    kind: FaultKind
    #: The number of the host, target or data centre, whichever it concerns.
    subject: int
    #: Until it is lifted; zero for faults of a moment.
    lasts: timedelta


#: How often each kind comes, relative to the others; kinds not named: 1.
WEIGHTS: Mapping[FaultKind, float] = MappingProxyType(
    {
        FaultKind.HERD_KILL: 0.3,
        FaultKind.HOST_STOP: 3,
        FaultKind.HOST_KILL: 2,
        FaultKind.HOST_PAUSE: 2,
        FaultKind.CONFIGURATION: 3,
        FaultKind.TARGET_CRASH: 2,
        FaultKind.TARGET_LEAVE: 2,
    },
)

#: The longest that a fault lasts, in seconds.
LONGEST_S = 6.0

#: The shortest, in seconds.
SHORTEST_S = 0.3

#: A data centre is out for longer than its work may take to end.
OUT_AT_LEAST = timedelta(seconds=6)

#: The share of faults that come as a pair on the same subject.
SERIES_SHARE = 0.25

#: The time between the two faults of a pair, in seconds.
SERIES_GAP_S = 0.8


def draw_schedule(
    settings: SoakSettings,
    targets: int,
    start: timedelta,
) -> Sequence[Fault]:
    """Returns the faults in the order of their times.

    ``targets`` is the number of targets; the first fault comes after
    ``start``. Faults overlap, and some come twice on the same subject.
    """
    chance = random.Random(settings.seed)
    subjects = MappingProxyType(
        {
            'HOST': settings.hosts,
            'STORE': settings.hosts,
            'CALLER': settings.hosts,
            'LINK': settings.hosts,
            'TARGET': targets,
            'DATA': len(DATA_CENTRES),
        },
    )
    named = [FaultKind[name] for name in settings.kinds]
    kinds = named or tuple(FaultKind)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    total = settings.fault_time.total_seconds()
    faults: list[Fault] = []
    for _ in range(round(total * settings.fault_rate)):
        kind = chance.choices(kinds, weights)[0]
        at = chance.uniform(0, total)
        count = subjects.get(kind.name.split('_')[0], 1)
        subject = chance.randrange(count)
        lasts = min(chance.uniform(SHORTEST_S, LONGEST_S), total - at)
        fault = Fault(
            start + timedelta(seconds=at),
            kind,
            subject,
            timedelta(seconds=max(lasts, 0)),
        )
        if kind is FaultKind.DATA_CENTRE_OUT:
            fault = replace(fault, lasts=fault.lasts + OUT_AT_LEAST)
        faults.append(fault)
        if chance.random() < SERIES_SHARE:
            faults.append(_repeat(fault, chance.random))
    return sorted(faults, key=lambda fault: fault.at)


def _repeat(fault: Fault, draw: Callable[[], float]) -> Fault:
    gap = timedelta(seconds=SERIES_GAP_S * draw())
    return Fault(fault.at + gap, fault.kind, fault.subject, fault.lasts)
