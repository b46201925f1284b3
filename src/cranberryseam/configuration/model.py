"""The configuration in force on every VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from xxhash import xxh64_intdigest

from ..types import AccountId, KeyId, RegionName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping


# Stands for all names in a list of routes or methods.
WILDCARD = '*'


@attrs.frozen
class Account:
    """A client account.

    Parameters
    ----------
    home
        Region that owns its rate limit and idempotency records; if empty,
        the hash of the name selects it.
    shares
        Share of rate and burst per region, with a sum of at most one; if
        empty, the home region has all of it.

    """

    name: AccountId
    plan: str
    home: str = ''
    shares: tuple[tuple[str, float], ...] = ()


@attrs.frozen
class Plan:
    """What the accounts of a plan may use.

    Parameters
    ----------
    rate
        Requests per second over all VMs; 0 means unlimited.
    burst
        Largest burst of requests over all VMs.
    weight
        Weight of the plan when slots are scarce.
    routes
        Names of the permitted routes; ``WILDCARD`` permits all.
    rank
        Priority of its requests, 0 is the highest; None uses that of the
        route.

    """

    name: str
    rate: float
    burst: int
    weight: int
    routes: tuple[str, ...]
    rank: int | None = None

    def allows(self, route: str) -> bool:
        """Return whether the accounts of the plan may use a route."""
        return route in self.routes or WILDCARD in self.routes


@attrs.frozen
class DeadlineWindow:
    """Deadline during an interval of the day.

    Parameters
    ----------
    start_minute, end_minute
        Minutes since local midnight; the end is exclusive and precedes the
        start if the window spans midnight.

    """

    start_minute: int
    end_minute: int
    deadline_s: float


@attrs.frozen
class Route:
    """Route of requests to a service.

    Parameters
    ----------
    prefix
        Path prefix, matched at segment boundaries; the longest match wins.
    methods
        Methods that the route accepts.
    retriable
        Methods that may be executed more than once.
    public
        True if requests need no key.
    deadline_s
        Deadline in seconds outside all windows.
    lane
        ``interactive`` or ``long``; long requests never occupy all slots.
    host
        Value of ``Host`` that the route matches; empty matches all.
    split
        Weighted services that share the requests; ``service`` is then empty.
    most_attempts
        Largest number of targets per request; 0 uses the default.
    most_wait_s
        Upper bound in seconds of the deadline, even if the caller asks for
        more; 0 means none.
    objective_s
        Latency objective of answers in seconds; 0 if unknown.
    rank
        Priority, 0 is the highest.

    """

    name: str
    service: ServiceName
    prefix: str
    methods: tuple[str, ...]
    retriable: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    public: bool = False
    deadline_s: float = 10.0
    windows: tuple[DeadlineWindow, ...] = ()
    lane: str = 'interactive'
    host: str = ''
    split: tuple[tuple[str, int], ...] = ()
    most_attempts: int = 0
    most_wait_s: float = 0
    objective_s: float = 0
    rank: int = 0

    def accepts_method(self, method: str) -> bool:
        """Return whether the route accepts a method."""
        return method in self.methods or WILDCARD in self.methods

    def is_retriable(self, method: str) -> bool:
        """Return whether requests with a method may be repeated."""
        return method in self.retriable or WILDCARD in self.retriable

    def deadline_at_minute(self, minute_of_day: int) -> float:
        """Return the deadline in seconds at a time of day."""
        for window in self.windows:
            if _contains_minute(window, minute_of_day):
                return window.deadline_s
        return self.deadline_s


@attrs.frozen
class Service:
    """A group of equivalent targets.

    Parameters
    ----------
    floor
        Share (0 to 1) of its slots that ejection must preserve.
    most_targets
        Largest planned number of targets.
    target_key_hashes
        Hex hashes of the keys with which targets may announce themselves.

    """

    name: ServiceName
    floor: float = 0.5
    most_targets: int = 1000
    target_key_hashes: tuple[str, ...] = ()


@attrs.frozen
class Lists:
    """The two lists: plans of the customers, and what each plan may use."""

    accounts: tuple[Account, ...] = ()
    plans: tuple[Plan, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()


@attrs.frozen
class Key:
    """A granted key."""

    key_id: KeyId
    account: AccountId
    key_hash: bytes


@attrs.frozen
class Document:
    """A whole configuration with a version that the operator assigned.

    It replaces accounts, plans, routes, services and keys as a whole.

    Parameters
    ----------
    version
        Version assigned by the operator; the highest one is in force.
    raw
        The document as it was received.

    """

    version: int
    raw: bytes


@attrs.define
class Configuration:
    """Result of applying all committed entries up to a version.

    The mappings are replaced, never modified in place, so that a reference to
    one version stays valid.

    Parameters
    ----------
    version
        Index of the last entry applied.
    lists_version
        Index of the last entry that changed the two lists.
    content_version
        Index of the last entry that changed lists, keys or document.
    document
        Document in force, None if the operators use the two lists.
    departed
        Targets that reported their shutdown, each with the Unix time in
        milliseconds up to which its starts have ended; oldest first, with a
        bounded length.

    """

    version: int = 0
    lists_version: int = 0
    initialised_wall_s: float = 0
    accounts: Mapping[str, Account] = attrs.field(factory=dict)
    plans: Mapping[str, Plan] = attrs.field(factory=dict)
    routes: Mapping[str, Route] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
    keys: Mapping[KeyId, Key] = attrs.field(factory=dict)
    withdrawn: frozenset[KeyId] = frozenset()
    content_version: int = 0
    document: Document | None = None
    departed: tuple[tuple[str, int], ...] = ()
    _prefixes: Mapping[tuple[str, str], tuple[Route, ...]] | None = attrs.field(
        default=None, init=False, eq=False
    )

    def find_route(
        self, method: str, path: str, host: str = ''
    ) -> Route | None:
        """Return the route with the longest prefix that accepts the method.

        Routes for the given host take precedence over routes for all hosts.
        """
        if self._prefixes is None:
            self._prefixes = _index_prefixes(self.routes)
        for name in dict.fromkeys((host, '')):
            route = self._match_prefix(self._prefixes, method, path, name)
            if route is not None:
                return route
        return None

    def home_region(
        self, account: Account, regions: tuple[str, ...]
    ) -> RegionName:
        """Return the home region of an account.

        Parameters
        ----------
        regions
            All regions, sorted by name.

        """
        if account.home:
            return RegionName(account.home)
        digest = xxh64_intdigest(account.name.encode())
        return RegionName(regions[digest % len(regions)])

    def _match_prefix(
        self,
        prefixes: Mapping[tuple[str, str], tuple[Route, ...]],
        method: str,
        path: str,
        host: str,
    ) -> Route | None:
        prefix = path
        while True:
            for route in prefixes.get((host, prefix), ()):
                # On a route for one host, a prefix with a trailing slash
                # doesn't match the path without it.
                slash_matches = not route.host or path.startswith(route.prefix)
                if slash_matches and route.accepts_method(method):
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition('/')[0]


def _index_prefixes(
    routes: Mapping[str, Route],
) -> Mapping[tuple[str, str], tuple[Route, ...]]:
    index: dict[tuple[str, str], tuple[Route, ...]] = {}
    for name in sorted(routes):
        route = routes[name]
        host_and_prefix = (route.host, route.prefix.rstrip('/'))
        index[host_and_prefix] = (*index.get(host_and_prefix, ()), route)
    return index


def _contains_minute(window: DeadlineWindow, minute: int) -> bool:
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


__all__ = (
    'WILDCARD',
    'Account',
    'Configuration',
    'DeadlineWindow',
    'Document',
    'Key',
    'Lists',
    'Plan',
    'Route',
    'Service',
)
