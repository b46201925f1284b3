"""A local fleet that runs as separate processes on loopback addresses."""

from __future__ import annotations

import subprocess  # noqa: S404
import sys
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path
from typing import Final

import attrs
import tomli_w

from ..cli.keys import hash_key

LOOPBACK: Final = '127.0.0.1'
ADMIN_KEY: Final = 'local-operator-key'
TARGET_KEY: Final = 'local-target-key'
# Time between SIGTERM and SIGKILL.
STOP_TIMEOUT_S: Final = 15.0
PORTS_PER_VM: Final = 4
GROUP_SIZE: Final = 3
DATA_CENTRES: Final = ('a', 'b')


@attrs.frozen
class LocalVm:
    """One daemon of a local fleet.

    Parameters
    ----------
    base_port
        First of ``PORTS_PER_VM`` consecutive ports: peers, callers, targets,
        admin.

    """

    name: str
    region: str
    data_centre: str
    roles: tuple[str, ...]
    base_port: int

    @property
    def peers(self) -> str:
        """Address for other VMs."""
        return _format_address(self.base_port)

    @property
    def callers(self) -> str:
        """Address for callers."""
        return _format_address(self.base_port + 1)

    @property
    def targets(self) -> str:
        """Address for announcements of targets."""
        return _format_address(self.base_port + 2)

    @property
    def admin(self) -> str:
        """Address of the administration API."""
        return _format_address(self.base_port + 3)


@attrs.frozen
class LocalLayout:
    """Data folder and VMs of a local fleet."""

    folder: Path
    vms: tuple[LocalVm, ...]

    @property
    def control(self) -> tuple[LocalVm, ...]:
        """VMs with the control role."""
        return tuple(vm for vm in self.vms if 'control' in vm.roles)

    @property
    def entry(self) -> tuple[LocalVm, ...]:
        """VMs with the entry role."""
        return tuple(vm for vm in self.vms if 'entry' in vm.roles)


def plan_layout(
    folder: Path,
    regions: tuple[str, ...],
    entry_per_region: int,
    control_count: int,
    first_port: int,
) -> LocalLayout:
    """Return a layout with entry VMs in each region and control VMs.

    Control VMs are distributed round-robin over the regions. The first
    ``GROUP_SIZE`` entry VMs of a region form its replica group.
    """
    places = [
        (region, number, 'entry')
        for region in regions
        for number in range(1, entry_per_region + 1)
    ]
    for replica in range(control_count):
        region = regions[replica % len(regions)]
        places.append((region, replica + 1, 'control'))
    vms = tuple(
        _place_vm(place, first_port + position * PORTS_PER_VM)
        for position, place in enumerate(places)
    )
    return LocalLayout(folder, vms)


def write_settings(layout: LocalLayout, vm: LocalVm) -> Path:
    """Write the settings file of a VM and return its path."""
    regions = sorted({each.region for each in layout.vms})
    document = {
        'regions': regions,
        'vm': {
            'name': vm.name,
            'region': vm.region,
            'data_centre': vm.data_centre,
            'roles': vm.roles,
        },
        'addresses': _describe_addresses(vm),
        'control': {
            'replicas': [each.name for each in layout.control],
            'data_folder': str(layout.folder / vm.name),
        },
        'admin': {'key_hash': hash_key(ADMIN_KEY).hex()},
        'requests': {'drain_limit_s': STOP_TIMEOUT_S},
        'peers': [
            _describe_peer(peer) for peer in layout.vms if peer is not vm
        ],
        'groups': [_describe_group(layout, region) for region in regions],
    }
    path = layout.folder / f'{vm.name}.toml'
    path.write_text(tomli_w.dumps(document), encoding='utf-8')
    return path


@contextmanager
def run_process(
    arguments: list[str], log_path: Path
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a Python module as a process and stop it on exit.

    Parameters
    ----------
    arguments
        Module name and its arguments.
    log_path
        File to which its output is appended.

    """
    with log_path.open('ab') as log_file:
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', *arguments],
            stdout=log_file,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
    try:
        yield process
    finally:
        stop_process(process)


def stop_process(process: subprocess.Popen[bytes]) -> None:
    """Send SIGTERM, and SIGKILL after ``STOP_TIMEOUT_S``."""
    if process.poll() is not None:
        return
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def run_vm(
    layout: LocalLayout, vm: LocalVm
) -> AbstractContextManager[subprocess.Popen[bytes]]:
    """Run the daemon of a VM; see ``run_process``."""
    settings = write_settings(layout, vm)
    return run_process(
        ['cranberryseam.daemon.main', '--config', str(settings)],
        layout.folder / f'{vm.name}.log',
    )


def _place_vm(place: tuple[str, int, str], base_port: int) -> LocalVm:
    region, number, role = place
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    name = f'{region}-{role}-{number}'
    return LocalVm(name, region, f'{region}-{data_centre}', (role,), base_port)


def _format_address(port: int) -> str:
    return f'{LOOPBACK}:{port}'


def _describe_addresses(vm: LocalVm) -> dict[str, str]:
    addresses = {'peers': vm.peers, 'admin': vm.admin}
    if 'entry' in vm.roles:
        addresses['callers'] = vm.callers
        addresses['targets'] = vm.targets
    return addresses


def _describe_peer(vm: LocalVm) -> dict[str, object]:
    return {
        'name': vm.name,
        'region': vm.region,
        'data_centre': vm.data_centre,
        'address': vm.peers,
        'roles': vm.roles,
    }


def _describe_group(layout: LocalLayout, region: str) -> dict[str, object]:
    members = [vm.name for vm in layout.entry if vm.region == region]
    return {
        'name': f'{region}-group',
        'region': region,
        'vms': members[:GROUP_SIZE],
    }


__all__ = (
    'ADMIN_KEY',
    'TARGET_KEY',
    'LocalLayout',
    'LocalVm',
    'plan_layout',
    'run_process',
    'run_vm',
    'stop_process',
    'write_settings',
)
