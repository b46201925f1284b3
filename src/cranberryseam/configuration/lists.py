"""Parsing of the two lists of the operators from TOML.

The customers list assigns a plan to each client account; the usage list defines
what each plan may use.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import attrs
from expression import Error, Ok, Result

from ..core.errors import InvalidInput
from ..types import AccountId, ServiceName
from .documents import InvalidDocument, read_document
from .model import Account, DeadlineWindow, Lists, Plan, Route, Service
from .references import check_references
from .units import parse_clock, parse_duration, parse_rate, parse_share

CUSTOMERS_SOURCE: Final = 'customers.toml'
USAGE_SOURCE: Final = 'usage.toml'

_Parsed = TypeVar('_Parsed')


@attrs.frozen
class _AccountRow:
    plan: str
    home: str = ''
    shares: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _Customers:
    accounts: Mapping[str, _AccountRow] = attrs.field(factory=dict)


@attrs.frozen
class _WindowRow:
    start: str
    end: str
    deadline: str


@attrs.frozen
class _RouteRow:
    service: str
    prefix: str
    methods: tuple[str, ...]
    retriable: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    public: bool = False
    deadline: str = '10s'
    windows: tuple[_WindowRow, ...] = ()
    lane: str = 'interactive'


@attrs.frozen
class _PlanRow:
    rate: str
    burst: int
    routes: tuple[str, ...]
    weight: int = 1


@attrs.frozen
class _ServiceRow:
    floor: str = '50%'
    most_targets: int = 1000
    target_key_hashes: tuple[str, ...] = ()


@attrs.frozen
class _Usage:
    services: Mapping[str, _ServiceRow] = attrs.field(factory=dict)
    routes: Mapping[str, _RouteRow] = attrs.field(factory=dict)
    plans: Mapping[str, _PlanRow] = attrs.field(factory=dict)


@attrs.define
class _ValueParser:
    """Parses values of one document and collects the problems."""

    source: str
    problems: list[InvalidInput] = attrs.field(factory=list)

    def parse(
        self,
        parse_value: Callable[
            [str, str, object], Result[_Parsed, InvalidInput]
        ],
        key: str,
        text: object,
    ) -> _Parsed | Any:
        """Return the parsed value, or record a problem and return 0."""
        parsed = parse_value(self.source, key, text)
        if parsed.is_ok():
            return parsed.ok
        self.problems.append(parsed.error)
        return 0


def parse_lists(
    customers_text: str, usage_text: str, regions: tuple[str, ...] = ()
) -> Result[Lists, InvalidDocument]:
    """Return the two lists from their TOML texts.

    Parameters
    ----------
    regions
        Known regions; if empty, region names are not validated.

    Returns
    -------
    The lists, or all problems found; never a part of the lists.

    """
    customers = read_document(CUSTOMERS_SOURCE, customers_text, _Customers)
    usage = read_document(USAGE_SOURCE, usage_text, _Usage)
    problems = [
        problem
        for document in (customers, usage)
        if document.is_error()
        for problem in document.error.problems
    ]
    if problems:
        return Error(InvalidDocument(tuple(problems)))
    return _build_lists(customers.ok, usage.ok, regions)


def _build_lists(
    customers: _Customers, usage: _Usage, regions: tuple[str, ...]
) -> Result[Lists, InvalidDocument]:
    customer_parser = _ValueParser(CUSTOMERS_SOURCE)
    usage_parser = _ValueParser(USAGE_SOURCE)
    lists = Lists(
        accounts=tuple(
            _build_account(customer_parser, name, row)
            for name, row in customers.accounts.items()
        ),
        plans=tuple(
            _build_plan(usage_parser, name, row)
            for name, row in usage.plans.items()
        ),
        routes=tuple(
            _build_route(usage_parser, name, row)
            for name, row in usage.routes.items()
        ),
        services=tuple(
            _build_service(usage_parser, name, row)
            for name, row in usage.services.items()
        ),
    )
    problems = customer_parser.problems + usage_parser.problems
    problems += check_references(lists, regions, CUSTOMERS_SOURCE, USAGE_SOURCE)
    if problems:
        return Error(InvalidDocument(tuple(problems)))
    return Ok(lists)


def _build_account(
    parser: _ValueParser, name: str, row: _AccountRow
) -> Account:
    shares = tuple(
        (
            region,
            parser.parse(parse_share, f'accounts.{name}.shares.{region}', text),
        )
        for region, text in row.shares.items()
    )
    return Account(AccountId(name), row.plan, row.home, shares)


def _build_plan(parser: _ValueParser, name: str, row: _PlanRow) -> Plan:
    rate = parser.parse(parse_rate, f'plans.{name}.rate', row.rate)
    return Plan(name, rate, row.burst, row.weight, row.routes)


def _build_service(
    parser: _ValueParser, name: str, row: _ServiceRow
) -> Service:
    floor = parser.parse(parse_share, f'services.{name}.floor', row.floor)
    return Service(
        ServiceName(name), floor, row.most_targets, row.target_key_hashes
    )


def _build_route(parser: _ValueParser, name: str, row: _RouteRow) -> Route:
    key = f'routes.{name}'
    return Route(
        name=name,
        service=ServiceName(row.service),
        prefix=row.prefix,
        methods=row.methods,
        retriable=tuple(
            method for method in row.retriable if method in row.methods
        ),
        public=row.public,
        deadline_s=parser.parse(
            parse_duration, f'{key}.deadline', row.deadline
        ),
        windows=tuple(
            _build_window(parser, f'{key}.windows.{position}', window)
            for position, window in enumerate(row.windows)
        ),
        lane=row.lane,
    )


def _build_window(
    parser: _ValueParser, key: str, row: _WindowRow
) -> DeadlineWindow:
    return DeadlineWindow(
        start_minute=parser.parse(parse_clock, f'{key}.start', row.start),
        end_minute=parser.parse(parse_clock, f'{key}.end', row.end),
        deadline_s=parser.parse(
            parse_duration, f'{key}.deadline', row.deadline
        ),
    )


__all__ = ('CUSTOMERS_SOURCE', 'USAGE_SOURCE', 'parse_lists')
