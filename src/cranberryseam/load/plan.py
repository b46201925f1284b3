"""What a load run sends, read from TOML."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from expression import Error, Ok, Result

from ..configuration.documents import InvalidDocument, read_document
from ..configuration.units import parse_duration, parse_rate
from ..core.errors import InvalidInput


@attrs.frozen
class Stream:
    """Requests of one account to one route, at random times.

    Parameters
    ----------
    key
        The account's key; empty on a public route.
    addresses
        Entry VMs (``ip:port``), used in turn.
    direct
        Addresses of targets that get a copy of each request in turn, so
        that the latency that the fleet adds can be told.
    rate
        Mean arrivals, such as ``20/s``.
    timeout
        The caller's patience, such as ``2s``; it is sent along.
    once
        True sends a new idempotency key with each request.

    """

    account: str
    path: str
    rate: str
    addresses: tuple[str, ...]
    key: str = ''
    method: str = 'GET'
    body: str = ''
    timeout: str = '10s'
    direct: tuple[str, ...] = ()
    once: bool = False
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Plan:
    """All streams of one generator process.

    Parameters
    ----------
    warm_up
        Requests of the first seconds are sent but not counted.
    seed
        Seed of the arrival times.

    """

    streams: tuple[Stream, ...]
    duration: str = '30s'
    warm_up: str = '3s'
    seed: int = 1

    @property
    def duration_s(self) -> float:
        """Counted duration in seconds."""
        return _seconds(self.duration)

    @property
    def warm_up_s(self) -> float:
        """Duration before counting starts, in seconds."""
        return _seconds(self.warm_up)


def read_plan(source: str, text: str) -> Result[Plan, InvalidDocument]:
    """Return a checked plan from its TOML text."""
    parsed = read_document(source, text, Plan)
    if parsed.is_error():
        return parsed
    problems = tuple(_check_plan(source, parsed.ok))
    return Error(InvalidDocument(problems)) if problems else Ok(parsed.ok)


def rate_of(stream: Stream) -> float:
    """Return the mean arrivals per second of a checked stream."""
    return float(parse_rate('', '', stream.rate).ok)


def timeout_of(stream: Stream) -> float:
    """Return the patience in seconds of a checked stream."""
    return _seconds(stream.timeout)


def _seconds(text: str) -> float:
    return float(parse_duration('', '', text).ok)


def _check_plan(source: str, plan: Plan) -> list[InvalidInput]:
    checks = [
        parse_duration(source, 'duration', plan.duration),
        parse_duration(source, 'warm_up', plan.warm_up),
    ]
    for position, stream in enumerate(plan.streams):
        key = f'streams.{position}'
        checks += [
            parse_rate(source, f'{key}.rate', stream.rate),
            parse_duration(source, f'{key}.timeout', stream.timeout),
        ]
    problems = [check.error for check in checks if check.is_error()]
    for position, stream in enumerate(plan.streams):
        if not stream.addresses:
            place = f'streams.{position}.addresses'
            problems.append(InvalidInput(source, place, 'none', 'an address'))
    return problems


__all__ = ('Plan', 'Stream', 'rate_of', 'read_plan', 'timeout_of')
