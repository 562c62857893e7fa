"""The active configuration of one host, taken from the store or peers."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.configuration._actions import (
    Announce,
    ConfigurationAction,
    Install,
    RaiseAlarm,
    RepairStore,
    Source,
)
from almonddock_core.configuration._documents import (
    Digest,
    Root,
    compute_digest,
    decode_root,
)
from almonddock_core.configuration._fetch import DocumentFetch
from almonddock_core.configuration._messages import (
    ConfigurationHead,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.configuration._parsing import DeploymentBuilder
from almonddock_core.configuration._watchers import choose_announce_hosts
from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    DataCentreId,
    HostId,
    MembershipView,
    Revision,
)

#: A reply stops adding documents at this size; the peer asks again.
_REPLY_BYTES = 262_144
_ISOLATION_SECONDS = 15
#: The most invalid roots remembered, which are not fetched again.
_MAX_REJECTED = 64


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """The identity of the host, and its timeouts and limits."""

    host: HostId
    data_centre: DataCentreId
    #: The time that a source has to reply with documents.
    fetch_timeout: timedelta = timedelta(seconds=1) / 2
    #: How many hosts of its own data centre, and of others, receive an
    #: announcement of a change.
    local_announce_count: int = 3
    remote_announce_count: int = 1
    #: A host that receives no message from the store or a peer for longer
    #: than this is isolated and reports that it is not ready.
    isolation_limit: timedelta = timedelta(seconds=_ISOLATION_SECONDS)
    #: The minimum time between two repairs of the store.
    repair_period: timedelta = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The state of the configuration, as reported to operators."""

    revision: Revision
    digest: Digest
    #: The time since the last message from the store or a peer.
    since_last_contact: timedelta
    #: The time since the store was known to have this revision; None if it
    #: never was.
    confirmed: timedelta | None
    #: Why the host is not ready; empty if it is.
    unready: str
    #: The revision that this host last read from the store.
    store_revision: Revision
    #: Alarms raised so far, by code.
    alarms: Mapping[str, int]


class _ContactTimes:
    """When the store or a peer last sent a message or confirmed the head."""

    def __init__(self, now: timedelta) -> None:
        self.heard_at = now
        self.confirmed_at: timedelta | None = None

    def record_contact(self, now: timedelta) -> None:
        self.heard_at = now

    def record_confirmation(self, at: timedelta) -> None:
        if self.confirmed_at is None or self.confirmed_at < at:
            self.confirmed_at = at


class ConfigurationState:
    """Keeps the newest published configuration that any source reports.

    Pass it the store's head (:meth:`receive_stored_head`) and the messages of
    peers (:meth:`receive_head`, :meth:`receive`), and carry out the actions
    that each call returns. The active revision never decreases.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        rng: random.Random,
        now: timedelta,
    ) -> None:
        self._settings = settings
        self._random = rng
        self._view = MembershipView(settings.host)
        self._builder = DeploymentBuilder()
        self._documents: dict[Digest, bytes] = {}
        self._digest = Digest('')
        self._stored = Revision(0)
        self._fetch: DocumentFetch | None = None
        self._rejected: dict[Digest, None] = {}
        self._alarms: dict[str, int] = {}
        self._contact = _ContactTimes(now)
        self._repaired_at: timedelta | None = None
        #: The active configuration; revision 0 before the first one.
        self.deployment = Deployment()

    def update_members(self, view: MembershipView) -> None:
        """Replaces the view from which announcement receivers are chosen."""
        self._view = view

    def describe_head(self, now: timedelta) -> ConfigurationHead:
        """Returns the active head, which membership messages carry."""
        confirmed = self._contact.confirmed_at
        return ConfigurationHead(
            self.deployment.revision,
            self._digest,
            None if confirmed is None else now - confirmed,
        )

    def report_status(self, now: timedelta) -> ConfigurationStatus:
        """Returns the status for operators, with the host's readiness."""
        head = self.describe_head(now)
        since_last_contact = now - self._contact.heard_at
        unready = ''
        if not head.revision:
            unready = 'no_configuration'
        elif since_last_contact > self._settings.isolation_limit:
            unready = 'isolated'
        return ConfigurationStatus(
            head.revision,
            head.digest,
            since_last_contact,
            head.confirmed,
            unready,
            self._stored,
            dict(self._alarms),
        )

    def receive_head(
        self,
        host: HostId,
        head: ConfigurationHead,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Handles the active head of a peer."""
        self._contact.record_contact(now)
        if head.confirmed is not None and head.digest == self._digest:
            self._contact.record_confirmation(now - head.confirmed)
        return self._fetch_if_newer(head, host, now)

    def receive_stored_head(
        self,
        content: bytes | None,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Handles the store's current head, None if it has none."""
        self._contact.record_contact(now)
        try:
            root = decode_root(content) if content else Root(Revision(0), '')
        except ValueError as error:
            return [self._count_alarm('invalid', str(error))]
        self._stored = root.revision
        if root.revision < self.deployment.revision:
            return self._refuse_older_store(root, now)
        if content is None:
            return []
        digest = compute_digest(content)
        if digest == self._digest:
            self._contact.record_confirmation(now)
            return []
        head = ConfigurationHead(root.revision, digest)
        return self._fetch_if_newer(head, None, now, content)

    def confirm_head(self, now: timedelta) -> None:
        """Records that the store answered and its head is the active one."""
        self._contact.record_contact(now)
        self._contact.record_confirmation(now)

    def receive(
        self,
        source: Source,
        reply: DocumentReply,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Handles documents from a peer or from the store."""
        if self._fetch is None:
            return []
        self._fetch.receive(source, reply)
        return self._advance(now)

    def answer(self, request: DocumentRequest) -> DocumentReply:
        """Returns the documents that a peer requests."""
        documents: list[bytes] = []
        missing: list[Digest] = []
        size = 0
        for digest in request.digests:
            document = self._documents.get(digest)
            if document is None:
                missing.append(digest)
            elif size < _REPLY_BYTES:
                documents.append(document)
                size += len(document)
        return DocumentReply(tuple(documents), tuple(missing))

    def tick(self, now: timedelta) -> list[ConfigurationAction]:
        """Retries at other sources if one timed out; call it periodically."""
        if self._fetch is None:
            return []
        self._fetch.expire(now)
        return self._advance(now)

    def list_documents(self) -> Mapping[Digest, bytes]:
        """Returns every active document, for a repair of the store."""
        return self._documents

    def _fetch_if_newer(
        self,
        head: ConfigurationHead,
        source: Source,
        now: timedelta,
        content: bytes = b'',
    ) -> list[ConfigurationAction]:
        active = self.deployment.revision
        if head.revision == active and head.digest != self._digest:
            return [
                self._count_alarm(
                    'forked',
                    f'different contents for revision {active}',
                ),
            ]
        if head.revision <= active or head.digest in self._rejected:
            return []
        fetch = self._get_or_start_fetch(head)
        if fetch is None:
            return []
        fetch.add_source(source)
        if content:
            fetch.add_document(content)
        return self._advance(now)

    def _get_or_start_fetch(
        self,
        head: ConfigurationHead,
    ) -> DocumentFetch | None:
        fetch = self._fetch
        if fetch is not None and head.revision < fetch.revision:
            return None
        if fetch is not None and head.digest == fetch.digest:
            return fetch
        known = self._documents if fetch is None else fetch.documents
        self._fetch = DocumentFetch(head.revision, head.digest, known)
        return self._fetch

    def _advance(self, now: timedelta) -> list[ConfigurationAction]:
        fetch = self._fetch
        if fetch is None:
            return []
        try:
            if fetch.list_needed():
                return list(
                    fetch.request_missing(now, self._settings.fetch_timeout),
                )
            return self._install(fetch, now)
        except ValueError as error:
            return [self._reject(fetch, str(error))]

    def _install(
        self,
        fetch: DocumentFetch,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        root = fetch.collect_root()
        snapshot = fetch.collect_snapshot()
        if root.revision != fetch.revision:
            raise ValueError(
                'the root has another revision than its head announced'
            )
        self.deployment = self._builder.build(
            root.revision,
            snapshot,
            fetch.documents,
        )
        used = (fetch.digest, *root.buckets.values(), *snapshot.values())
        self._documents = {digest: fetch.documents[digest] for digest in used}
        self._digest = fetch.digest
        self._contact.confirmed_at = now if None in fetch.sources else None
        self._fetch = None
        hosts = choose_announce_hosts(
            self._view,
            self._settings.data_centre,
            (
                self._settings.local_announce_count,
                self._settings.remote_announce_count,
            ),
            self._random,
        )
        return [
            Install(self.deployment),
            Announce(self.describe_head(now), hosts),
        ]

    def _reject(self, fetch: DocumentFetch, reason: str) -> RaiseAlarm:
        self._rejected[fetch.digest] = None
        if len(self._rejected) > _MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))
        self._fetch = None
        return self._count_alarm(
            'invalid',
            f'revision {fetch.revision} is invalid: {reason}',
        )

    def _refuse_older_store(
        self,
        root: Root,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        active = self.deployment.revision
        alarm = self._count_alarm(
            'store_older',
            f'the store has revision {root.revision}, active is {active}',
        )
        repaired = self._repaired_at
        period = self._settings.repair_period
        if repaired is not None and now - repaired < period:
            return [alarm]
        self._repaired_at = now
        return [alarm, RepairStore()]

    def _count_alarm(self, code: str, message: str) -> RaiseAlarm:
        self._alarms[code] = self._alarms.get(code, 0) + 1
        return RaiseAlarm(code, message)
