"""Validation of the rows of the lists and their references.

The customer list holds the accounts; the usage list holds the plans, routes and
services.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

from ..core.errors import InvalidInput
from .model import Account, Lists, Plan, Route, Service
from .units import PERCENT

# Classes of requests; long ones never occupy all slots.
LANES: Final = ('interactive', 'long')
METHODS: Final = (
    'GET',
    'HEAD',
    'OPTIONS',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
)
# Rounding may raise a sum of decimal shares slightly above one.
SHARE_TOLERANCE: Final = 1e-9
KEY_HASH_HEX_LENGTH: Final = 64

_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def check_references(
    lists: Lists,
    regions: tuple[str, ...],
    customers_source: str,
    usage_source: str,
) -> list[InvalidInput]:
    """Return all unknown references and invalid values of the lists.

    Parameters
    ----------
    customers_source
        Name of the customer list in the reported problems.
    usage_source
        Name of the usage list in the reported problems.

    """
    problems = [
        InvalidInput(customers_source, key, actual, expected)
        for account in lists.accounts
        for key, actual, expected in _check_account(account, lists, regions)
    ]
    for key, actual, expected in _check_usage_list(lists):
        problems.append(InvalidInput(usage_source, key, actual, expected))
    return problems


_Problems = Iterator[tuple[str, str, str]]


def _check_usage_list(lists: Lists) -> _Problems:
    for plan in lists.plans:
        yield from _check_plan(plan, lists)
    for route in lists.routes:
        yield from _check_route(route, lists)
    for service in lists.services:
        yield from _check_service(service)
    yield from _check_prefix_conflicts(lists)


def _check_account(
    account: Account, lists: Lists, regions: tuple[str, ...]
) -> _Problems:
    key = f'accounts.{account.name}'
    yield from _check_name(key, account.name)
    plans = tuple(plan.name for plan in lists.plans)
    if account.plan not in plans:
        yield f'{key}.plan', repr(account.plan), _one_of(plans)
    region_names = [region for region, _share in account.shares]
    if account.home:
        region_names.append(account.home)
    for region in region_names:
        if regions and region not in regions:
            yield key, f'region {region!r}', _one_of(regions)
    total = sum(share for _region, share in account.shares)
    if total > 1 + SHARE_TOLERANCE:
        percent = total * PERCENT
        actual = f'a sum of {percent} %'
        yield f'{key}.shares', actual, 'at most 100 %'


def _check_plan(plan: Plan, lists: Lists) -> _Problems:
    key = f'plans.{plan.name}'
    yield from _check_name(key, plan.name)
    routes = tuple(route.name for route in lists.routes)
    for name in plan.routes:
        if name not in routes:
            yield f'{key}.routes', repr(name), _one_of(routes)
    if plan.burst < 1:
        yield f'{key}.burst', str(plan.burst), 'at least 1'
    if plan.weight < 1:
        yield f'{key}.weight', str(plan.weight), 'at least 1'


def _check_route(route: Route, lists: Lists) -> _Problems:
    key = f'routes.{route.name}'
    yield from _check_name(key, route.name)
    services = tuple(str(service.name) for service in lists.services)
    if route.service not in services:
        yield f'{key}.service', repr(route.service), _one_of(services)
    if not route.prefix.startswith('/') or route.prefix.startswith('/-/'):
        yield f'{key}.prefix', repr(route.prefix), 'a path outside "/-/"'
    if not route.methods:
        yield f'{key}.methods', 'none', 'at least one method'
    for method in route.methods:
        if method not in METHODS:
            yield f'{key}.methods', repr(method), _one_of(METHODS)
    if route.lane not in LANES:
        yield f'{key}.lane', repr(route.lane), _one_of(LANES)


def _check_service(service: Service) -> _Problems:
    key = f'services.{service.name}'
    yield from _check_name(key, service.name)
    if service.most_targets < 1:
        actual = str(service.most_targets)
        yield f'{key}.most_targets', actual, 'at least 1'
    for digest in service.target_key_hashes:
        if not _is_key_hash(digest):
            expected = f'{KEY_HASH_HEX_LENGTH} lower-case hex digits'
            yield f'{key}.target_key_hashes', repr(digest), expected


def _check_prefix_conflicts(lists: Lists) -> _Problems:
    route_names: dict[tuple[str, str], str] = {}
    for route in lists.routes:
        for method in route.methods:
            prefix_and_method = (route.prefix.rstrip('/'), method)
            other = route_names.setdefault(prefix_and_method, route.name)
            if other != route.name:
                actual = f'{method} {route.prefix}, which {other} also has'
                yield (
                    f'routes.{route.name}',
                    actual,
                    'one route for each',
                )


def _check_name(key: str, name: str) -> _Problems:
    if not _NAME.fullmatch(name):
        yield key, repr(name), 'a name of letters, digits, ".", "_" and "-"'


def _is_key_hash(digest: str) -> bool:
    lower_hex = set('0123456789abcdef')
    return len(digest) == KEY_HASH_HEX_LENGTH and set(digest) <= lower_hex


def _one_of(names: tuple[str, ...]) -> str:
    listed = ', '.join(names)
    return f'one of {listed}' if names else 'one that is defined'


__all__ = ('check_references',)
