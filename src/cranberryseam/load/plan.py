"""Plan of a load run, read from TOML."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from expression import Error, Ok, Result

from ..configuration.documents import InvalidDocument, read_document
from ..configuration.units import parse_duration, parse_rate
from ..core.errors import InvalidInput


@attrs.frozen
class Stream:
    """Requests of one account to one path with Poisson arrivals.

    Parameters
    ----------
    key
        Key of the account; empty for a public route.
    addresses
        Addresses (``ip:port``) of entry VMs, used round-robin.
    direct
        Addresses of targets that receive a copy of each request, used
        round-robin, to measure the latency added by the fleet.
    rate
        Mean arrival rate, such as ``20/s``.
    timeout
        Request timeout, such as ``2s``; sent with each request.
    once
        Whether to send a new idempotency key with each request.

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
        Initial period whose requests are sent but not measured.
    seed
        Random seed of the arrival times.

    """

    streams: tuple[Stream, ...]
    duration: str = '30s'
    warm_up: str = '3s'
    seed: int = 1

    @property
    def duration_s(self) -> float:
        """Duration of the measurement in seconds."""
        return _parse_seconds(self.duration)

    @property
    def warm_up_s(self) -> float:
        """Duration of the warm-up in seconds."""
        return _parse_seconds(self.warm_up)


def read_plan(source: str, text: str) -> Result[Plan, InvalidDocument]:
    """Return the validated plan from its TOML text."""
    parsed = read_document(source, text, Plan)
    if parsed.is_error():
        return parsed
    problems = tuple(_check_plan(source, parsed.ok))
    return Error(InvalidDocument(problems)) if problems else Ok(parsed.ok)


def get_arrival_rate(stream: Stream) -> float:
    """Return the mean arrivals per second of a validated stream."""
    return float(parse_rate('', '', stream.rate).ok)


def get_timeout_s(stream: Stream) -> float:
    """Return the timeout in seconds of a validated stream."""
    return _parse_seconds(stream.timeout)


def _parse_seconds(text: str) -> float:
    return float(parse_duration('', '', text).ok)


def _check_plan(source: str, plan: Plan) -> list[InvalidInput]:
    checks = [
        parse_duration(source, 'duration', plan.duration),
        parse_duration(source, 'warm_up', plan.warm_up),
    ]
    for index, stream in enumerate(plan.streams):
        key = f'streams.{index}'
        checks += [
            parse_rate(source, f'{key}.rate', stream.rate),
            parse_duration(source, f'{key}.timeout', stream.timeout),
        ]
    problems = [check.error for check in checks if check.is_error()]
    for index, stream in enumerate(plan.streams):
        if not stream.addresses:
            addresses_key = f'streams.{index}.addresses'
            problems.append(
                InvalidInput(source, addresses_key, 'none', 'an address')
            )
    return problems


__all__ = ('Plan', 'Stream', 'get_arrival_rate', 'get_timeout_s', 'read_plan')
