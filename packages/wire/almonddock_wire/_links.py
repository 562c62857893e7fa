"""Encodes and decodes the frames that open a link and check it."""

from datetime import timedelta
from typing import Any

from almonddock_core.model import DataCentreId, HostId, Incarnation
from almonddock_wire._messages import Hello, Ping, Pong


def write_hello(frame: Any, hello: Hello, now: timedelta) -> None:
    """Fills a frame with the sender's identity."""
    message = frame.init('hello')
    message.host = hello.host
    message.dataCentre = hello.data_centre
    message.incarnation = hello.incarnation
    message.address = hello.address


def read_hello(message: Any, now: timedelta) -> Hello:
    """Returns the sender's identity."""
    return Hello(
        host=HostId(message.host),
        data_centre=DataCentreId(message.dataCentre),
        incarnation=Incarnation(message.incarnation),
        address=message.address,
    )


def write_ping(frame: Any, ping: Ping, now: timedelta) -> None:
    """Fills a frame with the number of a ping."""
    frame.ping = ping.number


def read_ping(number: int, now: timedelta) -> Ping:
    """Returns the ping."""
    return Ping(number)


def write_pong(frame: Any, pong: Pong, now: timedelta) -> None:
    """Fills a frame with the number of a pong."""
    frame.pong = pong.number


def read_pong(number: int, now: timedelta) -> Pong:
    """Returns the pong."""
    return Pong(number)
