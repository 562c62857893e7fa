"""Encodes and decodes probes and their news: changes of members."""

from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_core.membership import Probe, ProbeReply, ProbeRequest
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MemberState,
)
from almonddock_wire._configuration import fill_head, read_head

#: The code of a state on the wire is its position, so new states are added at
#: the end of the enumeration.
STATES = tuple(MemberState)
STATE_CODES = MappingProxyType(
    {state: code for code, state in enumerate(STATES)},
)


def write_probe(frame: Any, probe: Probe, now: timedelta) -> None:
    """Fills a frame with a probe."""
    entry = frame.init('probe')
    entry.full = probe.full
    _fill_common_fields(entry, probe)


def read_probe(entry: Any, now: timedelta) -> Probe:
    """Returns the probe."""
    return Probe(
        entry.number,
        HostId(entry.sender),
        read_head(entry.head, now),
        _read_news(entry),
        entry.full,
    )


def write_probe_reply(frame: Any, reply: ProbeReply, now: timedelta) -> None:
    """Fills a frame with the reply to a probe."""
    _fill_common_fields(frame.init('probeReply'), reply)


def read_probe_reply(entry: Any, now: timedelta) -> ProbeReply:
    """Returns the reply to a probe."""
    return ProbeReply(
        entry.number,
        HostId(entry.sender),
        read_head(entry.head, now),
        _read_news(entry),
    )


def write_probe_request(
    frame: Any,
    request: ProbeRequest,
    now: timedelta,
) -> None:
    """Fills a frame with a request to probe another host."""
    entry = frame.init('probeRequest')
    entry.target = request.target
    _fill_common_fields(entry, request)


def read_probe_request(entry: Any, now: timedelta) -> ProbeRequest:
    """Returns the request to probe another host."""
    return ProbeRequest(
        entry.number,
        HostId(entry.sender),
        HostId(entry.target),
        read_head(entry.head, now),
        _read_news(entry),
    )


def _fill_common_fields(
    entry: Any, message: Probe | ProbeReply | ProbeRequest
) -> None:
    entry.number = message.number
    entry.sender = message.sender
    fill_head(entry.init('head'), message.head)
    news = entry.init('news', len(message.news))
    for item, member in zip(news, message.news, strict=True):
        item.host = member.host
        item.dataCentre = member.data_centre
        item.address = member.address
        item.incarnation = member.incarnation
        item.state = STATE_CODES[member.state]


def _read_news(entry: Any) -> tuple[Member, ...]:
    return tuple(
        Member(
            HostId(item.host),
            DataCentreId(item.dataCentre),
            item.address,
            Incarnation(item.incarnation),
            STATES[item.state],
        )
        for item in entry.news
    )
