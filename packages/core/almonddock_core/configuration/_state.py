"""The configuration of one host: never older, from store or peers."""

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
from almonddock_core.configuration._watchers import choose_listeners
from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    DataCentreId,
    HostId,
    MembershipView,
    Revision,
)

#: Bytes of documents in one reply, about; the rest is asked for again.
_REPLY_BYTES = 262_144
_ISOLATION_SECONDS = 15
#: Invalid roots remembered, so that they are not fetched again.
_MAX_REJECTED = 64


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Who the host is and how long it waits."""

    host: HostId
    data_centre: DataCentreId
    #: How long a source may take to send documents.
    fetch_timeout: timedelta = timedelta(seconds=1) / 2
    #: Hosts of its data centre, and others, told at once of a change.
    near_listeners: int = 3
    far_listeners: int = 1
    #: Without any word from store or peers for longer, the host is isolated
    #: and says that it is not ready.
    isolation_limit: timedelta = timedelta(seconds=_ISOLATION_SECONDS)
    #: The least time between two repairs of the store.
    repair_period: timedelta = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What operators see."""

    revision: Revision
    digest: Digest
    #: Since the store or any peer was heard.
    heard: timedelta
    #: Since the store is known to have had this revision; None if never.
    confirmed: timedelta | None
    #: Why the host is not ready; empty when it is.
    unready: str
    #: The revision that this host last found in the store.
    stored: Revision
    #: Alarms raised so far, by code.
    alarms: Mapping[str, int]


class _Contact:
    """When the store or a peer was last heard."""

    def __init__(self, now: timedelta) -> None:
        self.heard_at = now
        self.confirmed_at: timedelta | None = None

    def hear(self, now: timedelta) -> None:
        self.heard_at = now

    def confirm(self, at: timedelta) -> None:
        if self.confirmed_at is None or self.confirmed_at < at:
            self.confirmed_at = at


class ConfigurationState:
    """Keeps the newest accepted configuration that any source tells of.

    Feed it what the store says (:meth:`hear_store`) and what peers say
    (:meth:`hear_peer`, :meth:`receive`), and carry out the actions that each
    call returns. The revision in force never goes back.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        source: random.Random,
        now: timedelta,
    ) -> None:
        self._settings = settings
        self._random = source
        self._view = MembershipView(settings.host)
        self._builder = DeploymentBuilder()
        self._documents: dict[Digest, bytes] = {}
        self._digest = Digest('')
        self._stored = Revision(0)
        self._fetch: DocumentFetch | None = None
        self._rejected: dict[Digest, None] = {}
        self._alarms: dict[str, int] = {}
        self._contact = _Contact(now)
        self._repaired_at: timedelta | None = None
        #: The configuration in force; revision 0 before the first one.
        self.deployment = Deployment()

    def see_members(self, view: MembershipView) -> None:
        """Replaces the hosts that may be told of changes."""
        self._view = view

    def describe_head(self, now: timedelta) -> ConfigurationHead:
        """Returns what probes carry."""
        confirmed = self._contact.confirmed_at
        return ConfigurationHead(
            self.deployment.revision,
            self._digest,
            None if confirmed is None else now - confirmed,
        )

    def measure(self, now: timedelta) -> ConfigurationStatus:
        """Returns the state for operators, and whether the host is ready."""
        head = self.describe_head(now)
        heard = now - self._contact.heard_at
        unready = ''
        if not head.revision:
            unready = 'no_configuration'
        elif heard > self._settings.isolation_limit:
            unready = 'isolated'
        return ConfigurationStatus(
            head.revision,
            head.digest,
            heard,
            head.confirmed,
            unready,
            self._stored,
            dict(self._alarms),
        )

    def hear_peer(
        self,
        host: HostId,
        head: ConfigurationHead,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Takes what a peer has in force."""
        self._contact.hear(now)
        if head.confirmed is not None and head.digest == self._digest:
            self._contact.confirm(now - head.confirmed)
        return self._consider(head, host, now)

    def hear_store(
        self,
        content: bytes | None,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Takes the head that the store has now, None when it has none."""
        self._contact.hear(now)
        try:
            root = decode_root(content) if content else Root(Revision(0), '')
        except ValueError as error:
            return [self._alarm('invalid', str(error))]
        self._stored = root.revision
        if root.revision < self.deployment.revision:
            return self._refuse_older(root, now)
        if content is None:
            return []
        digest = compute_digest(content)
        if digest == self._digest:
            self._contact.confirm(now)
            return []
        head = ConfigurationHead(root.revision, digest)
        return self._consider(head, None, now, content)

    def hear_nothing_new(self, now: timedelta) -> None:
        """Notes that the store answered and its head is the one in force."""
        self._contact.hear(now)
        self._contact.confirm(now)

    def receive(
        self,
        source: Source,
        reply: DocumentReply,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        """Takes documents from a peer or from the store."""
        if self._fetch is None:
            return []
        self._fetch.receive(source, reply)
        return self._advance(now)

    def answer(self, request: DocumentRequest) -> DocumentReply:
        """Returns the documents that a peer asks for."""
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
        """Asks other sources when one did not answer; call it often."""
        if self._fetch is None:
            return []
        self._fetch.expire(now)
        return self._advance(now)

    def list_documents(self) -> Mapping[Digest, bytes]:
        """Returns every document in force, as a repair of the store needs."""
        return self._documents

    def _consider(
        self,
        head: ConfigurationHead,
        source: Source,
        now: timedelta,
        content: bytes = b'',
    ) -> list[ConfigurationAction]:
        own = self.deployment.revision
        if head.revision == own and head.digest != self._digest:
            return [
                self._alarm('forked', f'two contents of revision {own}'),
            ]
        if head.revision <= own or head.digest in self._rejected:
            return []
        fetch = self._find_fetch(head)
        if fetch is None:
            return []
        fetch.add_source(source)
        if content:
            fetch.add_document(content)
        return self._advance(now)

    def _find_fetch(self, head: ConfigurationHead) -> DocumentFetch | None:
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
                return list(fetch.ask(now, self._settings.fetch_timeout))
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
            raise ValueError('the root has another revision than announced')
        self.deployment = self._builder.build(
            root.revision,
            snapshot,
            fetch.documents,
        )
        used = (fetch.digest, *root.buckets.values(), *snapshot.values())
        self._documents = {one: fetch.documents[one] for one in used}
        self._digest = fetch.digest
        self._contact.confirmed_at = now if None in fetch.sources else None
        self._fetch = None
        listeners = choose_listeners(
            self._view,
            self._settings.data_centre,
            (self._settings.near_listeners, self._settings.far_listeners),
            self._random,
        )
        return [
            Install(self.deployment),
            Announce(self.describe_head(now), listeners),
        ]

    def _reject(self, fetch: DocumentFetch, reason: str) -> RaiseAlarm:
        self._rejected[fetch.digest] = None
        if len(self._rejected) > _MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))
        self._fetch = None
        return self._alarm(
            'invalid',
            f'revision {fetch.revision} cannot be read: {reason}',
        )

    def _refuse_older(
        self,
        root: Root,
        now: timedelta,
    ) -> list[ConfigurationAction]:
        own = self.deployment.revision
        alarm = self._alarm(
            'store_older',
            f'the store has revision {root.revision}, in force is {own}',
        )
        repaired = self._repaired_at
        period = self._settings.repair_period
        if repaired is not None and now - repaired < period:
            return [alarm]
        self._repaired_at = now
        return [alarm, RepairStore()]

    def _alarm(self, code: str, message: str) -> RaiseAlarm:
        self._alarms[code] = self._alarms.get(code, 0) + 1
        return RaiseAlarm(code, message)
