"""Keeps the configuration in force."""

import asyncio
from collections.abc import Callable

import orjson
from pydantic import TypeAdapter

from almonddock_core.deployment import (
    DataCentresFile,
    Deployment,
    ServiceFile,
    build_deployment,
)
from almonddock_core.model import Revision, StoreUnavailableError
from almonddock_daemon.adapters import StoreClient, StoredValue
from almonddock_daemon.telemetry import LOG

DATA_CENTRES_FILE = 'data-centres.json'

_SERVICE = TypeAdapter(ServiceFile)
_DATA_CENTRES = TypeAdapter(DataCentresFile)


class ConfigurationController:
    """Watches the head document and publishes immutable deployments."""

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        publish: Callable[[Deployment], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._publish = publish
        #: The configuration in force; revision 0 before the first one.
        self.view = Deployment()

    async def run(self) -> None:
        """Follows the head document until cancelled."""
        head = f'{self._prefix}head'
        revision = 1
        first = await self._read_first(head)
        if first is not None:
            revision = first.revision + 1
            await self._apply(first)
        async for event in self._store.watch(head, revision):
            if event.value is not None:
                await self._apply(event.value)

    async def _read_first(self, head: str) -> StoredValue | None:
        while True:
            try:
                return await self._store.read(head)
            except StoreUnavailableError as error:
                LOG.warning('store_unavailable', message=error.message)
                await asyncio.sleep(1)

    async def _apply(self, stored: StoredValue) -> None:
        head = orjson.loads(stored.value)
        if head['revision'] <= self.view.revision:
            return
        bodies = {
            name: await self._store.read(f'{self._prefix}bodies/{digest}')
            for name, digest in head['bodies'].items()
        }
        texts = {
            name: body.value
            for name, body in bodies.items()
            if body is not None
        }
        centres = _DATA_CENTRES.validate_json(texts.pop(DATA_CENTRES_FILE))
        services = [_SERVICE.validate_json(text) for text in texts.values()]
        self.view = build_deployment(
            Revision(head['revision']),
            services,
            centres,
        )
        LOG.info('configuration_in_force', revision=self.view.revision)
        self._publish(self.view)
