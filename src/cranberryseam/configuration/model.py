"""The configuration in force on every VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from xxhash import xxh64_intdigest

from ..types import AccountId, KeyId, RegionName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping


# In place of names: all of them.
WILDCARD = '*'


@attrs.frozen
class Account:
    """A client account.

    Parameters
    ----------
    home
        Region that holds its rate and its idempotency records; empty means
        by hash of the name.
    shares
        Share of rate and burst per region, adding up to at most one; empty
        means all of it at home.

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
        Requests per second, over all VMs; 0 means no limit.
    burst
        Requests at once, over all VMs.
    weight
        Share of scarce slots in relation to other plans.
    routes
        Names of the routes; ``WILDCARD`` stands for all of them.
    rank
        Urgency of its requests, 0 is the most urgent; None leaves it to the
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
    """Deadline during a part of the day.

    Parameters
    ----------
    start_minute, end_minute
        Minutes since local midnight; the end is excluded and may be before
        the start, for a window over midnight.

    """

    start_minute: int
    end_minute: int
    deadline_s: float


@attrs.frozen
class Route:
    """Requests that go to one service.

    Parameters
    ----------
    prefix
        Path prefix, matched at segment borders; the longest one wins.
    methods
        Methods that the route takes.
    retriable
        Methods that may run more than once.
    public
        True if no key is needed.
    deadline_s
        Deadline outside all windows.
    lane
        ``interactive`` or ``long``; long work never occupies all slots.
    host
        Value of ``Host`` that the route is for; empty means all.
    split
        Services with the weight of their share; ``service`` is empty then.
    most_attempts
        Targets to which one request may be sent; 0 leaves it to the fleet.
    most_wait_s
        A caller never waits longer than this, whatever it asks for; 0 means
        no such bound.
    objective_s
        Time within which an answer is of full use; 0 if unknown.
    rank
        Urgency, 0 is the most urgent.

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
        """Return whether the route takes requests with a method."""
        return method in self.methods or WILDCARD in self.methods

    def is_retriable(self, method: str) -> bool:
        """Return whether requests with a method may run more than once."""
        return method in self.retriable or WILDCARD in self.retriable

    def deadline_at_minute(self, minute_of_day: int) -> float:
        """Return the deadline in seconds at a time of day."""
        for window in self.windows:
            if _covers(window, minute_of_day):
                return window.deadline_s
        return self.deadline_s


@attrs.frozen
class Service:
    """A group of targets that do the same work.

    Parameters
    ----------
    floor
        Share (0 to 1) of its slots that ejection must leave.
    most_targets
        Largest number of targets it is planned for.
    target_key_hashes
        Hashes (hex) of the keys with which targets may announce themselves.

    """

    name: ServiceName
    floor: float = 0.5
    most_targets: int = 1000
    target_key_hashes: tuple[str, ...] = ()


@attrs.frozen
class Lists:
    """The two lists: customers' plans, and what each plan may use."""

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
    """A whole configuration that an operator sent under its own version.

    It replaces accounts, plans, routes, services and keys as a whole.

    Parameters
    ----------
    version
        The operator's version; the highest one is in force.
    raw
        The document as it was sent.

    """

    version: int
    raw: bytes


@attrs.define
class Configuration:
    """The result of all committed entries up to a version.

    The mappings are replaced, never changed in place, so that a reference
    taken at one version stays valid.

    Parameters
    ----------
    version
        Index of the last entry applied.
    lists_version
        Index of the last entry that changed the two lists.
    content_version
        Index of the last entry that changed what VMs act on.
    document
        The operator's document in force, if documents are used.
    departed
        Targets that said that they leave, with the time up to which their
        starts have left, in Unix milliseconds; oldest first and bounded.

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
        """Return the route with the longest prefix that takes the method.

        Routes of the host go before routes for all hosts.
        """
        if self._prefixes is None:
            self._prefixes = _index_prefixes(self.routes)
        for name in dict.fromkeys((host, '')):
            route = self._find_prefix(self._prefixes, method, path, name)
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

    def _find_prefix(
        self,
        prefixes: Mapping[tuple[str, str], tuple[Route, ...]],
        method: str,
        path: str,
        host: str,
    ) -> Route | None:
        prefix = path
        while True:
            for route in prefixes.get((host, prefix), ()):
                # A prefix that ends with a slash doesn't match without it on
                # routes of one host.
                exact = not route.host or path.startswith(route.prefix)
                if exact and route.accepts_method(method):
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
        place = (route.host, route.prefix.rstrip('/'))
        index[place] = (*index.get(place, ()), route)
    return index


def _covers(window: DeadlineWindow, minute: int) -> bool:
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
