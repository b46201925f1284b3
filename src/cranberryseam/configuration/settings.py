"""Settings of one process, read from TOML."""

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
        Where the balancer asks for readiness, if not where callers do.
    outside
        Interface of a platform adapter, for its targets and operators.
    metrics
        Counters as text.

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
    """Another VM that is known from the start."""

    name: str
    region: str
    data_centre: str
    address: str
    roles: tuple[str, ...] = ('entry',)


@attrs.frozen
class GroupSettings:
    """A replica group of three VMs of one region."""

    name: str
    region: str
    vms: tuple[str, ...]


@attrs.frozen
class ControlSettings:
    """The control replicas and the data folder of this one.

    Parameters
    ----------
    seeds
        Peer addresses at which control replicas may be found; with them,
        VMs are found through the control replicas instead of gossip.
    forms
        True lets the seeds form the log without an operator; only for the
        first start of the fleet.
    most_lost
        Disks that may be lost at once; the log grows to twice as many
        replicas and one more.

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
    """Attempts beyond the first of each request, for the whole fleet.

    Parameters
    ----------
    share
        Of the requests for a service.
    slack
        Further ones for each service in ``window_s``; 0 means that each VM
        has a budget of its own.

    """

    share: float = 0.1
    slack: float = 0
    window_s: float = 10.0


@attrs.frozen
class LimitSettings:
    """Tolerance of the limits while their owner changes.

    A new owner doesn't know which tokens of the one before are still in use.
    Within the tolerance it gives some already while it waits for their end.

    Parameters
    ----------
    early_share
        Share of an account's rate that a new owner gives meanwhile.
    early_tokens
        Tokens that it gives to an account at once.

    """

    early_share: float = 0
    early_tokens: float = 0


@attrs.frozen
class StatsdSettings:
    """Where metrics go; nowhere without a port."""

    host: str = '127.0.0.1'
    port: int = 0
    prefix: str = 'cranberryseam'


@attrs.frozen
class AdminSettings:
    """Hash (hex) of the operators' key; without one the API takes none."""

    key_hash: str = ''


@attrs.frozen
class RequestSettings:
    """Bounds of a request.

    Parameters
    ----------
    exit_s
        Connections that are still open when the process may stop are closed
        after this.
    utc_offset_minutes
        Offset of the local time that deadlines by time of day refer to.

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
        Seed of the reducer's random numbers; 0 lets the daemon draw one.
    log_name
        Name of this VM in logs, if it isn't ``vm.name``.
    places
        Data centres with their region, where the whole fleet shares its
        owners and ``vm.region`` doesn't tell how far a target is.

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
    'VmSettings',
)
