"""Where the demonstration's hosts and stand-ins listen."""

import pathlib
from dataclasses import dataclass

import orjson

from almonddock_standins._host_list import HostEntry
from almonddock_standins._ports import LOOPBACK, find_ports

HOST_COUNT = 4
TARGET_COUNT = 110


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where everything of the demonstration listens."""

    http: tuple[str, ...]
    links: tuple[str, ...]
    store: str
    host_list: str
    first_target_port: int

    @property
    def urls(self) -> tuple[str, ...]:
        """Where the hosts take queries."""
        return tuple(f'http://{one}' for one in self.http)


def choose_addresses() -> Addresses:
    """Returns free loopback addresses."""
    ports = find_ports(TARGET_COUNT + HOST_COUNT * 2 + 2)
    first = [f'{LOOPBACK}:{port}' for port in ports[: HOST_COUNT * 2 + 2]]
    return Addresses(
        http=tuple(first[:HOST_COUNT]),
        links=tuple(first[HOST_COUNT : HOST_COUNT * 2]),
        store=first[-2],
        host_list=first[-1],
        first_target_port=ports[HOST_COUNT * 2 + 2],
    )


def list_hosts(addresses: Addresses) -> list[HostEntry]:
    """Returns the host list of the demonstration."""
    return [
        HostEntry(
            host=f'kyu-{number}',
            data_centre=f'kyushu-{number % 3 + 1}',
            address=address,
        )
        for number, address in enumerate(addresses.links)
    ]


def write_settings(
    folder: pathlib.Path,
    addresses: Addresses,
) -> list[pathlib.Path]:
    """Writes one settings file a host and returns their paths."""
    paths = []
    for number, entry in enumerate(list_hosts(addresses)):
        path = folder / f'{entry.host}.json'
        path.write_bytes(
            orjson.dumps(
                {
                    'host': entry.host,
                    'data_centre': entry.data_centre,
                    'listen': {
                        'http': addresses.http[number],
                        'link': entry.address,
                    },
                    'store': {'endpoints': [f'http://{addresses.store}']},
                    'host_list': {'url': f'http://{addresses.host_list}'},
                    'seed': number,
                },
            ),
        )
        paths.append(path)
    return paths
