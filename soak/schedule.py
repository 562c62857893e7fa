"""Draws the faults of a run from its seed."""

import enum
import itertools
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from soak.settings import DATA_CENTRES, SoakSettings


class FaultKind(enum.Enum):
    """What a fault does, and what it affects."""

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
    TARGET_HALF_HEAD = 'replies of a target end in their heads'
    TARGET_LATE_COPY = 'target sends replies again, later'
    TARGET_ENDLESS = 'heads of replies of a target go on without end'
    TARGET_FAULTY = 'target fails requests'
    TARGET_LOSING = 'target runs requests and loses the replies'
    TARGET_CRASH = 'target crashes'
    TARGET_LEAVE = 'target leaves'
    TARGET_VANISH = 'entry of a target removed while it serves'
    TARGET_COLD = 'target turns cold'
    CONFIGURATION = 'configuration changed'
    CONFIGURATION_SERIES = 'configurations in quick succession'
    DATA_CENTRE_OUT = 'data centre taken out'
    HOST_RELOAD_SERIES = 'host told many times to read its settings'
    HOST_STOP_SERIES = 'host asked many times to stop and to read its settings'
    HOST_KILL_SERIES = 'host killed again soon after each start'
    HOST_OUTPUT_UNREAD = 'host started again with output that nobody reads'
    HOST_OVERLAP = 'host run twice, with the same ports and name'
    STORE_STALLED = 'store slower than hosts wait, and a host killed'
    STORE_PATH_ENDLESS = 'answers of the store to a host go on without end'
    STORE_PATH_RUBBISH = 'answers of the store to a host are rubbish'
    CALLER_HALF_BODY = 'callers that stop in the middle of a body'
    CALLER_IDLE = 'more idle callers than a host has descriptors'
    CALLER_UNREAD = 'callers that do not read their answers'
    LINK_JUNK = 'junk on the port for links'
    LINK_HALF_FRAME = 'frames without end on the port for links'
    LINK_IDLE = 'idle connections to the port for links'
    TARGET_LEAVE_UNLISTED = 'target leaves, and only its replies say so'
    TARGET_REST = 'target refuses requests and states for how long'
    STORE_RETURN = 'store returns from a copy'
    STORE_RETURN_TWICE = 'store returns from copies twice in a row'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule."""

    #: The time since the start of the run.
    at: timedelta
    kind: FaultKind
    #: The number of the affected host, target or data centre.
    subject: int
    #: The time until the fault is reverted, for kinds that are reverted. For
    #: changes of the configuration, it selects what changes; for returns of the
    #: store, it is the age of the copy.
    duration: timedelta


#: Relative frequency of each kind; 1 for kinds that are not listed.
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

#: Kinds that are drawn apart from the others, each group by itself, so that
#: the faults of seeds that once found something stay the same. The groups are
#: in the order in which they were added; their names are part of the seed.
LATER_GROUPS: Mapping[str, frozenset[FaultKind]] = MappingProxyType(
    {
        'later kinds': frozenset(
            (
                FaultKind.TARGET_HALF_HEAD,
                FaultKind.TARGET_LATE_COPY,
                FaultKind.TARGET_ENDLESS,
            ),
        ),
        'ends of processes': frozenset(
            (
                FaultKind.HOST_RELOAD_SERIES,
                FaultKind.HOST_STOP_SERIES,
                FaultKind.HOST_KILL_SERIES,
                FaultKind.HOST_OUTPUT_UNREAD,
                FaultKind.STORE_STALLED,
                FaultKind.STORE_PATH_ENDLESS,
                FaultKind.STORE_PATH_RUBBISH,
                FaultKind.CALLER_HALF_BODY,
                FaultKind.CALLER_UNREAD,
                FaultKind.LINK_JUNK,
                FaultKind.LINK_HALF_FRAME,
                FaultKind.LINK_IDLE,
                FaultKind.TARGET_LEAVE_UNLISTED,
                FaultKind.TARGET_REST,
            ),
        ),
        'overlapping processes': frozenset((FaultKind.HOST_OVERLAP,)),
        'descriptors': frozenset((FaultKind.CALLER_IDLE,)),
        'copies of the store': frozenset(
            (FaultKind.STORE_RETURN, FaultKind.STORE_RETURN_TWICE),
        ),
    },
)
LATER_KINDS = frozenset(itertools.chain(*LATER_GROUPS.values()))

#: The longest duration that is drawn for a fault, in seconds. It is then
#: shortened to the rest of the fault time.
MAX_DURATION_S = 6.0

#: The shortest duration that is drawn, before shortening, in seconds.
MIN_DURATION_S = 0.3

#: The least time that a data centre stays drained: longer than
#: ``Promises.drain_data_centre``, so that late work can be detected.
MIN_DRAINED_TIME = timedelta(seconds=6)

#: The share of faults that are repeated on the same subject.
REPEAT_SHARE = 0.25

#: The longest time between a fault and its repetition, in seconds.
MAX_REPEAT_GAP_S = 0.8


def draw_schedule(
    settings: SoakSettings,
    targets: int,
    start: timedelta,
) -> Sequence[Fault]:
    """Returns the faults of a run, ordered by time.

    ``targets`` is the number of targets; no fault starts before ``start``.
    Faults may overlap, and some are repeated on the same subject.
    """
    subject_counts = MappingProxyType(
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
    total = settings.fault_time.total_seconds()
    first = [kind for kind in kinds if kind not in LATER_KINDS]
    # A kind of a later group is drawn as often as one of the first kinds.
    base = len(first) or len(kinds)
    count = round(total * settings.fault_rate)
    faults: list[Fault] = []
    if first:
        rng = random.Random(settings.seed)
        faults.extend(_draw(first, count, total, subject_counts, rng))
    for name, group in LATER_GROUPS.items():
        later = [kind for kind in kinds if kind in group]
        rng = random.Random(f'{settings.seed} {name}')
        share = round(count * len(later) / base)
        faults.extend(_draw(later, share, total, subject_counts, rng))
    moved = (replace(fault, at=start + fault.at) for fault in faults)
    return sorted(moved, key=lambda fault: fault.at)


def _draw(
    kinds: Sequence[FaultKind],
    count: int,
    total_s: float,
    subject_counts: Mapping[str, int],
    rng: random.Random,
) -> Iterator[Fault]:
    """Yields faults and their repetitions, at times since the first may start.

    ``total_s`` is the fault time in seconds; ``subject_counts`` holds the
    number of subjects by the first word of a kind.
    """
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    for _ in range(count):
        kind = rng.choices(kinds, weights)[0]
        at = rng.uniform(0, total_s)
        subject = rng.randrange(subject_counts.get(kind.name.split('_')[0], 1))
        duration_s = min(
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S), total_s - at
        )
        fault = Fault(
            timedelta(seconds=at),
            kind,
            subject,
            timedelta(seconds=max(duration_s, 0)),
        )
        if kind is FaultKind.DATA_CENTRE_OUT:
            fault = replace(fault, duration=fault.duration + MIN_DRAINED_TIME)
        yield fault
        if rng.random() < REPEAT_SHARE:
            yield _repeat(fault, rng.random)


def _repeat(fault: Fault, draw: Callable[[], float]) -> Fault:
    gap = timedelta(seconds=MAX_REPEAT_GAP_S * draw())
    return Fault(fault.at + gap, fault.kind, fault.subject, fault.duration)
