"""Listening addresses of the demonstration's hosts and stand-ins."""

import pathlib
from dataclasses import dataclass

import orjson

from almonddock_standins._host_list import HostEntry
from almonddock_standins._ports import LOOPBACK, find_ports

HOST_COUNT = 4
#: How many targets :func:`build_kyushu` returns.
TARGET_COUNT = 110


@dataclass(frozen=True, slots=True)
class Addresses:
    """Listening addresses of the demonstration."""

    http: tuple[str, ...]
    #: Where the hosts accept links from other hosts.
    links: tuple[str, ...]
    store: str
    host_list: str
    first_target_port: int

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs at which the hosts accept queries."""
        return tuple(f'http://{address}' for address in self.http)


def choose_addresses() -> Addresses:
    """Returns free loopback addresses."""
    ports = find_ports(TARGET_COUNT + HOST_COUNT * 2 + 2)
    addresses = [f'{LOOPBACK}:{port}' for port in ports[: HOST_COUNT * 2 + 2]]
    return Addresses(
        http=tuple(addresses[:HOST_COUNT]),
        links=tuple(addresses[HOST_COUNT : HOST_COUNT * 2]),
        store=addresses[-2],
        host_list=addresses[-1],
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
    """Writes one settings file per host and returns their paths."""
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
