"""A process with stand-in targets, controlled by lines of JSON on stdin.

Each command is answered by one line on stdout: the counters of every target.
"""

import asyncio
import pathlib
import sys
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any

import orjson
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from almonddock_core.deployment import ServiceFile
from almonddock_standins import ServiceTimes, StandInTarget, build_settings

SERVICES = TypeAdapter(tuple[ServiceFile, ...])


@dataclass(frozen=True, slots=True)
class Command:
    """Sets how the targets behave until the next command."""

    #: The median service time, in milliseconds.
    median_ms: float = 10
    straggler_share: float = 0
    #: Whether the reply includes the runs of each request.
    tell_runs: bool = False

    def build_times(self) -> ServiceTimes:
        """Returns the distribution of the service times."""
        return ServiceTimes(
            median=timedelta(milliseconds=self.median_ms),
            straggler_share=self.straggler_share,
        )


COMMAND = TypeAdapter(Command)


def main() -> None:
    """Runs the targets of the services in the file until stdin ends."""
    services = SERVICES.validate_json(pathlib.Path(sys.argv[1]).read_bytes())
    asyncio.run(_run(services))


async def _run(services: Iterable[ServiceFile]) -> None:
    times = Command().build_times()
    targets = [
        StandInTarget(build_settings(service, entry, times))
        for service in services
        for entry in service.targets
    ]
    for target in targets:
        await target.start()
    _write_counters(targets, tell_runs=False)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(lines),
        sys.stdin,
    )
    while line := await lines.readline():
        command = COMMAND.validate_json(line) if line.strip() else None
        if command is not None:
            _apply_command(targets, command)
        _write_counters(
            targets,
            tell_runs=command is not None and command.tell_runs,
        )


def _apply_command(targets: Iterable[StandInTarget], command: Command) -> None:
    times = command.build_times()
    for target in targets:
        target.settings = replace(target.settings, service_times=times)


def _write_counters(
    targets: Iterable[StandInTarget], *, tell_runs: bool
) -> None:
    counters: dict[str, Any] = {}
    for target in targets:
        counted = target.counters.export()
        if tell_runs:
            counted['runs'] = dict(target.counters.runs)
        counters[target.settings.name] = counted
    line = orjson.dumps(counters, option=orjson.OPT_APPEND_NEWLINE)
    sys.stdout.buffer.write(line)
    sys.stdout.buffer.flush()


if __name__ == '__main__':
    main()
