"""Hosts that share quotas, with the messages and the store between them."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial

from almonddock_core.quotas import (
    AskGrantor,
    CreditReply,
    HostPlace,
    LetIn,
    QuotaAction,
    Quotas,
    QuotaSettings,
    StartState,
)
from almonddock_core.routing import Organisation, Quota

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)

SETTINGS = QuotaSettings(5 * SECOND, overshoot=0.1, slack=20)

#: How often a host reads the store, and renews its registration there.
READ_INTERVAL = 500 * MS
RENEWAL_INTERVAL = 5 * SECOND
REGISTRATION_TTL = 15 * SECOND
#: How old a read of the store may be.
LIST_INTERVAL = 100 * MS
TICK_INTERVAL = 20 * MS


#: The serial number of a process, and a ticket.
Request = tuple[int, int]


@dataclass(slots=True)
class Process:
    """One host, or what is left of it."""

    place: HostPlace
    quotas: Quotas
    #: Differs between the processes of one host.
    serial: int
    lives: bool = True
    #: Whether it has read the store, before which it serves nobody.
    is_ready: bool = False
    #: Whether it may use its start part, once its registration tells so;
    #: None if that has been noted, or no earlier process granted.
    has_start_part: bool | None = None
    #: Until when nothing happens in it.
    frozen_until: timedelta = field(default=timedelta())


@dataclass(slots=True)
class Registration:
    """A registration, with whether its host grants."""

    place: HostPlace
    expires: timedelta
    grants: bool
    is_starting: bool


class Fleet:
    """Runs hosts in virtual time; counts what each lets in."""

    def __init__(self, hosts: int, seed: int, quota: Quota) -> None:
        self.now = timedelta()
        self.random = random.Random(seed)
        self.limits: list[tuple[timedelta, Quota]] = [(self.now, quota)]
        self.let_in: dict[str, list[timedelta]] = defaultdict(list)
        #: Whether each request was let in, by process and ticket.
        self.answers: dict[Request, bool] = {}
        self.retries: list[timedelta] = []
        self.messages = 0
        #: Requests that were not decided on at once.
        self.waited = 0
        #: Hosts cut from the store, and from all other hosts.
        self.cut_from_store: set[str] = set()
        self.cut_from_hosts: set[str] = set()
        self.registered: dict[str, Registration] = {}
        self._listed: tuple[HostPlace, ...] = ()
        self._listed_at = -LIST_INTERVAL
        self.organisations: list[Organisation] = []
        self._order = itertools.count()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.processes: dict[str, Process] = {}
        for number in range(hosts):
            self.start(f'host-{number}', f'dc-{number % 3}', is_first=True)

    def at(self, when: timedelta, act: Callable[[], None]) -> None:
        """Schedules something."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self, until: timedelta) -> None:
        """Runs what is due."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until

    def set_quotas(self, organisations: Collection[str], quota: Quota) -> None:
        """Brings a limit into force, on each host a little later."""
        self.limits.append((self.now, quota))
        self.organisations = [
            Organisation(name, quota=quota) for name in organisations
        ]
        for process in self.processes.values():
            delay = self.random.uniform(0, 1) * SECOND
            self.at(self.now + delay, partial(self._learn, process))

    def start(
        self, name: str, data_centre: str, *, is_first: bool = False
    ) -> None:
        """Starts a process; a host that was killed forgets everything."""
        place = HostPlace(name, data_centre)
        found = self.registered.get(name)
        state = StartState(self.now, is_first=is_first)
        quotas = Quotas(
            place, SETTINGS, state, lambda other: self.reaches(name, other)
        )
        if found is not None and found.grants:
            quotas.hosts.note_earlier_grants()
        process = Process(place, quotas, next(self._order))
        if found is not None and found.grants and found.expires > self.now:
            process.has_start_part = not found.is_starting
        self.processes[name] = process
        self._learn(process)
        first = self.random.uniform(0, 1) * SECOND
        self.at(self.now + first, lambda: self._read(process))
        self.at(self.now + first / 2, lambda: self._renew(process))

    def kill(self, name: str) -> None:
        """Ends a process; its registration expires later."""
        self.processes[name].lives = False

    def stop(self, name: str) -> None:
        """Ends a process; what it told of quotas expires as after a kill."""
        self.kill(name)

    def restart(self, name: str) -> None:
        """Starts a host again, at once if its process lives."""
        place = self.processes[name].place
        self.kill(name)
        self.start(name, place.data_centre)

    def kill_all(self, pause: timedelta, gap: timedelta = timedelta()) -> None:
        """Kills all hosts, a gap apart; each starts again after a pause."""
        for number, name in enumerate(self.processes):
            when = self.now + number * gap
            self.at(when, partial(self.kill, name))
            self.at(when + pause, partial(self.restart, name))

    def freeze(self, name: str, span: timedelta) -> None:
        """Holds a process up."""
        self.processes[name].frozen_until = self.now + span

    def reaches(self, name: str, other: str) -> bool:
        """Whether messages pass between two hosts."""
        process = self.processes.get(other)
        is_cut = {name, other} & self.cut_from_hosts
        return process is not None and process.lives and not is_cut

    def request(self, host: str, organisation: str) -> Request | None:
        """Sends a request; returns None if nobody is there."""
        process = self.processes[host]
        is_frozen = process.frozen_until > self.now
        if not (process.lives and process.is_ready) or is_frozen:
            return None
        ticket, actions = process.quotas.admit(organisation, self.now)
        self._run_actions(process, organisation, actions)
        request = (process.serial, ticket)
        self.waited += request not in self.answers
        return request

    def send(self, host: str, organisation: str) -> None:
        """Sends a request whose answer nobody asks for."""
        self.request(host, organisation)

    def _run_actions(
        self, process: Process, organisation: str, actions: list[QuotaAction]
    ) -> None:
        for action in actions:
            if isinstance(action, AskGrantor):
                self._ask(process, action)
                continue
            let_in = isinstance(action, LetIn)
            self.answers[(process.serial, action.ticket)] = let_in
            if isinstance(action, LetIn):
                self.let_in[organisation].append(self.now)
            else:
                self.retries.append(action.retry_after)
        if process.quotas.is_waiting:
            self.at(
                self.now + TICK_INTERVAL,
                lambda: self._tick(process, organisation),
            )

    def _ask(self, process: Process, action: AskGrantor) -> None:
        name = process.place.name
        query = action.query
        self.messages += 1

        def answer(reply: CreditReply) -> None:
            if self.reaches(action.grantor, name):
                actions = process.quotas.receive_reply(reply, self.now)
                self._run_actions(process, query.organisation, actions)

        def receive() -> None:
            grantor = self.processes[action.grantor]
            if self.reaches(name, action.grantor):
                reply = grantor.quotas.receive_query(query, self.now)
                self._deliver(process, lambda: answer(reply))

        self._deliver(self.processes[action.grantor], receive)

    def _deliver(self, process: Process, act: Callable[[], None]) -> None:
        delay = self.random.uniform(1, 20) * MS

        def try_act() -> None:
            if process.frozen_until > self.now:
                self.at(process.frozen_until, try_act)
            elif process.lives:
                act()

        self.at(self.now + delay, try_act)

    def _tick(self, process: Process, organisation: str) -> None:
        if process.lives and process.frozen_until <= self.now:
            actions = process.quotas.tick(self.now)
            self._run_actions(process, organisation, actions)

    def _learn(self, process: Process) -> None:
        process.quotas.update_quotas(self.organisations)

    def _read(self, process: Process) -> None:
        name = process.place.name
        if not process.lives:
            return
        self.at(self.now + READ_INTERVAL, lambda: self._read(process))
        is_frozen = process.frozen_until > self.now
        if is_frozen or name in self.cut_from_store:
            return
        process.is_ready = True
        present, news = self._list_present()
        actions = process.quotas.update_hosts(present, news, self.now)
        self._run_actions(process, '', actions)
        process.quotas.drop_idle(self.now)
        found = self.registered.get(name)
        if found is not None:
            grants = process.quotas.hosts.is_grantor(self.now)
            self.registered[name] = replace(found, grants=grants)

    def _list_present(self) -> tuple[tuple[HostPlace, ...], timedelta]:
        """Returns the registered hosts, and as of when."""
        if self.now - self._listed_at >= LIST_INTERVAL:
            self._listed_at = self.now
            self._listed = tuple(
                each.place
                for each in self.registered.values()
                if each.expires > self.now
            )
        return self._listed, self._listed_at

    def _renew(self, process: Process) -> None:
        name = process.place.name
        if not process.lives:
            return
        self.at(self.now + RENEWAL_INTERVAL, lambda: self._renew(process))
        is_frozen = process.frozen_until > self.now
        if is_frozen or name in self.cut_from_store:
            return
        found = self.registered.get(name)
        self.registered[name] = Registration(
            process.place,
            self.now + REGISTRATION_TTL,
            found is not None and found.grants,
            process.quotas.hosts.first_window.is_recent(self.now),
        )
        if process.has_start_part is not None:
            is_usable = process.has_start_part
            process.has_start_part = None
            process.quotas.hosts.first_window.note_part(is_usable=is_usable)


def find_worst_window(times: Collection[timedelta], window: timedelta) -> int:
    """Returns the most that were let in within any window."""
    ordered = sorted(times)
    first = 0
    worst = 0
    for last, when in enumerate(ordered):
        while when - ordered[first] > window:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
