"""This host's parts of all quotas in force."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from almonddock_core.quotas._division import Division, divide_quota
from almonddock_core.quotas._hosts import HostPlace, KnownHosts, StartState
from almonddock_core.quotas._settings import QuotaSettings
from almonddock_core.routing import Organisation, Quota

#: The most divisions that are kept from one request to the next.
MAX_DIVISIONS = 4096

NO_QUOTA = Quota(0, 0)


class Divisions:
    """Divides quotas among the known hosts when they are needed."""

    def __init__(
        self, own: HostPlace, settings: QuotaSettings, start: StartState
    ) -> None:
        """Starts without limits, and knows only this host."""
        self.own = own
        #: The hosts that share quotas.
        self.hosts = KnownHosts(own, settings, start)
        #: The quotas of the configuration in force, by organisation.
        self.quotas: Mapping[str, Quota] = {}
        self._settings = settings
        self._divisions: dict[str, Division] = {}

    def update_quotas(self, organisations: Iterable[Organisation]) -> None:
        """Takes the organisations of the configuration in force."""
        self.quotas = {
            one.name: one.quota
            for one in organisations
            if one.quota is not None
        }
        self._divisions = {}

    def update_hosts(
        self, present: Iterable[HostPlace], news: timedelta, now: timedelta
    ) -> None:
        """Takes the registered hosts as of ``news``."""
        known = self.hosts.current
        self.hosts.update(present, news, now)
        if self.hosts.current != known:
            self._divisions = {}

    def divide(self, organisation: str) -> Division:
        """Returns this host's part of a quota."""
        division = self._divisions.get(organisation)
        if division is None:
            division = divide_quota(
                organisation,
                self.quotas.get(organisation, NO_QUOTA),
                self.own.name,
                self.hosts.current,
                self._settings,
            )
            if len(self._divisions) >= MAX_DIVISIONS:
                self._divisions = {}
            self._divisions[organisation] = division
        return division
