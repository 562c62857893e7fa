"""Publishes files with the code behind ``almonddock publish``."""

import random
import secrets
from datetime import timedelta

from pydantic import TypeAdapter

from almonddock_core.configuration import (
    CheckedFiles,
    Published,
    build_request,
    publish,
)
from almonddock_core.deployment import DataCentresFile, ServiceFile
from almonddock_daemon import MonotonicClock
from almonddock_daemon.adapters import StoreClient, StoreSettings, run_steps
from almonddock_standins.deployments import DeploymentFiles

PREFIX = '/almonddock/'
CALLS_PER_SECOND = 500
CHANGE_BYTES = 8
CALL_TIMEOUT = timedelta(seconds=2)


async def publish_files(files: DeploymentFiles, store_address: str) -> None:
    """Publishes the files to the store."""
    settings = StoreSettings(
        (f'http://{store_address}',),
        prefix=PREFIX,
        calls_per_second=CALLS_PER_SECOND,
        call_timeout=CALL_TIMEOUT,
    )
    store = StoreClient(settings, MonotonicClock(), random.Random(0))
    try:
        published = await run_steps(
            store,
            publish(
                build_request(
                    _build_checked_files(files), _generate_change_name()
                )
            ),
        )
    finally:
        await store.close()
    if not isinstance(published, Published):
        raise TypeError(f'the files were not published: {published}')


def _generate_change_name() -> str:
    # Reusing the name of a published change would count as a retry of it.
    return secrets.token_hex(CHANGE_BYTES)


def _build_checked_files(files: DeploymentFiles) -> CheckedFiles:
    return CheckedFiles(
        files.services,
        files.data_centres,
        {
            service.service: TypeAdapter(ServiceFile).dump_json(service)
            for service in files.services
        },
        TypeAdapter(DataCentresFile).dump_json(files.data_centres),
    )
