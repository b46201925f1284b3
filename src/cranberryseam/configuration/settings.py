"""Settings of one process, loaded from TOML."""

from __future__ import annotations

import attrs

from ..types import VmId


@attrs.frozen
class VmSettings:
    """Identity of this VM."""

    name: str
    region: str
    data_centre: str
    roles: tuple[str, ...] = ('entry',)


@attrs.frozen
class Addresses:
    """Addresses (``ip:port``) that this process listens on.

    Parameters
    ----------
    ready
        Readiness endpoint for the load balancer; if empty, the address for
        callers serves it.
    outside
        Interface of a platform adapter for its targets and operators.
    metrics
        Endpoint for counters in text format.

    """

    peers: str
    callers: str = ''
    targets: str = ''
    admin: str = ''
    ready: str = ''
    outside: str = ''
    metrics: str = ''


@attrs.frozen
class PeerSettings:
    """A VM that is known at startup."""

    name: str
    region: str
    data_centre: str
    address: str
    roles: tuple[str, ...] = ('entry',)


@attrs.frozen
class GroupSettings:
    """A replica group of three VMs in one region."""

    name: str
    region: str
    vms: tuple[str, ...]


@attrs.frozen
class ControlSettings:
    """The control replicas and the data folder of this one.

    Parameters
    ----------
    seeds
        Peer addresses used to discover control replicas; if set, VMs are
        discovered through the control replicas instead of gossip.
    forms
        True if the seeds create the log without an operator; only for the
        first start of the fleet.
    most_lost
        Number of disks ``n`` that may be lost at the same time; the log grows
        to ``2n + 1`` replicas.

    """

    replicas: tuple[str, ...] = ()
    data_folder: str = ''
    seeds: tuple[str, ...] = ()
    forms: bool = False
    most_lost: int = 0


@attrs.frozen
class KeySettings:
    """Freshness of keys; see ``docs/design.md``, withdrawn keys.

    Parameters
    ----------
    isolation
        ``vm`` or ``region``.

    """

    freshness_s: float = 5.0
    isolation: str = 'vm'


@attrs.frozen
class RetrySettings:
    """Budget of the whole fleet for retries and other additional attempts.

    Parameters
    ----------
    share
        Additional attempts as a share of the requests for a service.
    slack
        Further additional attempts for each service in ``window_s``; 0 means
        that each VM has a separate budget.

    """

    share: float = 0.1
    slack: float = 0
    window_s: float = 10.0


@attrs.frozen
class LimitSettings:
    """Tolerance of the rate limits during a change of owner.

    A new owner doesn't know which tokens of its predecessor are still in use.
    Within the tolerance it grants some tokens before those have expired.

    Parameters
    ----------
    early_share
        Share of an account's rate that a new owner grants during that time.
    early_tokens
        Tokens that it grants to an account immediately.

    """

    early_share: float = 0
    early_tokens: float = 0


@attrs.frozen
class TransferSettings:
    """Cost of traffic that leaves a data centre.

    Targets in the same data centre are preferred by these costs, but never a
    target that is full or believed to fail.

    Parameters
    ----------
    data_centre_per_mb, region_per_mb
        Cost of a MB to another data centre of the region, and to another
        region, in units of the worth of a request.

    """

    data_centre_per_mb: float = 50.0
    region_per_mb: float = 80.0


@attrs.frozen
class StatsdSettings:
    """Address of the statsd server; port 0 disables metrics."""

    host: str = '127.0.0.1'
    port: int = 0
    prefix: str = 'cranberryseam'


@attrs.frozen
class AdminSettings:
    """Hex hash of the operators' key; if empty, the API accepts no command."""

    key_hash: str = ''


@attrs.frozen
class RequestSettings:
    """Limits of requests and of shutdown.

    Parameters
    ----------
    exit_s
        Seconds after draining until the process closes the connections that
        are still open.
    utc_offset_minutes
        UTC offset of the local time used for deadline windows.

    """

    most_body_bytes: int = 8_388_608
    most_header_bytes: int = 32_768
    body_timeout_s: float = 30.0
    drain_limit_s: float = 30.0
    drain_grace_s: float = 1.0
    exit_s: float = 2.0
    utc_offset_minutes: int = 0


@attrs.frozen
class Settings:
    """All settings of one process.

    Parameters
    ----------
    regions
        Names of all regions of the fleet.
    seed
        Seed of the reducer's random generators; with 0 the daemon draws one.
    log_name
        Name of this VM in logs; empty means ``vm.name``.
    places
        Data centres and their regions, for fleets in which all VMs share the
        same owners and ``vm.region`` doesn't indicate the distance to a
        target.

    """

    vm: VmSettings
    addresses: Addresses
    regions: tuple[str, ...]
    peers: tuple[PeerSettings, ...] = ()
    groups: tuple[GroupSettings, ...] = ()
    control: ControlSettings = ControlSettings()
    keys: KeySettings = KeySettings()
    requests: RequestSettings = RequestSettings()
    retries: RetrySettings = RetrySettings()
    limits: LimitSettings = LimitSettings()
    transfer: TransferSettings = TransferSettings()
    statsd: StatsdSettings = StatsdSettings()
    admin: AdminSettings = AdminSettings()
    seed: int = 0
    log_level: str = 'INFO'
    places: tuple[tuple[str, str], ...] = ()
    log_name: str = ''

    @property
    def vm_id(self) -> VmId:
        """Name of this VM as an identifier."""
        return VmId(self.vm.name)

    @property
    def region_names(self) -> tuple[str, ...]:
        """All regions, sorted by name."""
        return tuple(sorted(self.regions))


__all__ = (
    'Addresses',
    'AdminSettings',
    'ControlSettings',
    'GroupSettings',
    'KeySettings',
    'LimitSettings',
    'PeerSettings',
    'RequestSettings',
    'RetrySettings',
    'Settings',
    'StatsdSettings',
    'TransferSettings',
    'VmSettings',
)
