"""Processes of a build, and requests to them over HTTP.

Nothing is imported from a build, so that its internal names may differ.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
import struct
import subprocess
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs
import httpx
import tomli_w

LOOPBACK: Final = '127.0.0.1'
REGION: Final = 'dar'
ADMIN_KEY: Final = 'mixed-builds-operator-key'
TARGET_KEY: Final = 'mixed-builds-target-key'
KEY_HASH_BYTES: Final = 32
PORTS_PER_VM: Final = 4
GROUP_SIZE: Final = 3
STOP_TIMEOUT_S: Final = 15.0
CALL_TIMEOUT_S: Final = 15.0
POLL_INTERVAL_S: Final = 0.1
# Statuses of the administration API after which a command is sent again, to
# another VM.
MISDIRECTED: Final = 421
OUTCOME_UNKNOWN: Final = 504
# Texts that a process logs only after an internal error.
ERROR_MARKERS: Final = (
    'Traceback (most recent call last)',
    '"exception":',
    '"level":"error"',
    '"level":"critical"',
)
# Handshake of a push socket in nanomsg's SP protocol over TCP.
PUSH_GREETING: Final = b'\0SP\0\0\x50\0\0'

# Connections aren't kept, because a restart of the server would break them.
_CLIENT: Final = httpx.Client(
    trust_env=False, limits=httpx.Limits(max_keepalive_connections=0)
)


class PreconditionError(Exception):
    """A condition that a check depends on was not met."""


@attrs.frozen
class Build:
    """A checkout with its environment in ``.venv``."""

    name: str
    checkout: Path

    def build_command(
        self, arguments: Iterable[str], extra: Mapping[str, str]
    ) -> tuple[list[str], dict[str, str]]:
        """Return the command line and environment of a process."""
        python = self.checkout / '.venv' / 'bin' / 'python'
        source = {'PYTHONPATH': str(self.checkout / 'src')}
        return [str(python), *arguments], {**os.environ, **source, **extra}

    def find_source(self) -> Path:
        """Return the folder from which a process imports the package."""
        code = (
            'from importlib.util import find_spec;'
            "print(find_spec('cranberryseam').origin)"
        )
        command, environment = self.build_command(('-c', code), {})
        completed = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=True
        )
        return Path(completed.stdout.strip()).parent


@attrs.frozen
class Vm:
    """One VM with consecutive ports for its four interfaces."""

    name: str
    role: str
    data_centre: str
    base_port: int

    @property
    def peers(self) -> str:
        """Address for other VMs."""
        return f'{LOOPBACK}:{self.base_port}'

    @property
    def callers(self) -> str:
        """Address for callers."""
        return f'{LOOPBACK}:{self.base_port + 1}'

    @property
    def targets(self) -> str:
        """Address for announcements of targets."""
        return f'{LOOPBACK}:{self.base_port + 2}'

    @property
    def admin(self) -> str:
        """Address of the administration API."""
        return f'{LOOPBACK}:{self.base_port + 3}'


@attrs.frozen
class Answer:
    """Answer to a request; status 0 if there was none."""

    status: int
    document: Any
    text: str = ''

    @property
    def reason(self) -> str:
        """Reason of a refusal or name of the error, empty if there is none."""
        if not isinstance(self.document, dict):
            return self.text if self.status == 0 else ''
        return str(self.document.get('type', '')).rpartition(':')[2]


def hash_key(key: str) -> str:
    """Return the hash (hex) under which a key is stored."""
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES)
    return digest.hexdigest()


def send_request(
    method: str,
    url: str,
    body: object = None,
    key: str = ADMIN_KEY,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Send a request and return its answer."""
    sent = {'Authorization': f'Bearer {key}'} if key else {}
    raw = body if isinstance(body, bytes) else None
    try:
        response = _CLIENT.request(
            method,
            f'http://{url}',
            headers={**sent, **(headers or {})},
            content=raw,
            json=None if raw is not None else body,
            timeout=timeout_s,
        )
    except httpx.HTTPError as error:
        return Answer(0, None, type(error).__name__)
    try:
        document = response.json()
    except ValueError:
        document = None
    return Answer(response.status_code, document, response.text)


def wait_for(
    condition: str, check: Callable[[], bool], limit_s: float
) -> float:
    """Wait until a check returns true; return the time taken in seconds.

    Raises
    ------
    PreconditionError
        If it does not return true within the limit.

    """
    started_at = time.monotonic()
    while not check():
        if time.monotonic() - started_at > limit_s:
            raise PreconditionError(
                f'{condition}: not reached after {limit_s} s'
            )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


@attrs.define
class Process:
    """A started process and the file with its output."""

    name: str
    build: Build
    running: subprocess.Popen[bytes]
    log: Path

    def stop(self) -> int:
        """Stop it with SIGTERM, or SIGKILL on timeout; return its exit code."""
        self.running.terminate()
        return self.wait()

    def wait(self) -> int:
        """Wait for its end and return the exit code; kill it on timeout."""
        try:
            return self.running.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.running.kill()
            return self.running.wait()

    def kill(self) -> None:
        """End it with SIGKILL."""
        self.running.kill()
        self.running.wait()

    def describe_exit(self) -> str:
        """Return its exit code and last line; empty while it is running."""
        if self.running.poll() is None:
            return ''
        lines = self.log.read_text(errors='replace').splitlines() or ['']
        return f'{self.name} ended with {self.running.poll()}: {lines[-1]}'

    def find_error_lines(self) -> list[str]:
        """Return the lines of its output that report internal errors."""
        lines = self.log.read_text(errors='replace').splitlines()
        return [
            f'{self.name}: {line[:200]}'
            for line in lines
            if any(marker in line for marker in ERROR_MARKERS)
        ]


def start_process(
    name: str,
    build: Build,
    arguments: Iterable[str],
    folder: Path,
    extra: Mapping[str, str] | None = None,
) -> Process:
    """Start a Python process of a build; its output goes to a new file."""
    command, environment = build.build_command(arguments, extra or {})
    number = len(list(folder.glob(f'{name}.*.log')))
    log = folder / f'{name}.{number}.{build.name}.log'
    with log.open('wb') as output:
        running = subprocess.Popen(
            command,
            env=environment,
            cwd=folder,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    return Process(name, build, running, log)


@attrs.define
class Fleet:
    """A fleet of one region whose VMs may be of different builds.

    Parameters
    ----------
    attached
        True if VMs find each other through seeds and attach to the control
        leader, instead of gossip.

    """

    folder: Path
    vms: tuple[Vm, ...]
    attached: bool = False
    running: dict[str, Process] = attrs.field(factory=dict)
    ended: list[Process] = attrs.field(factory=list)

    @property
    def control(self) -> tuple[Vm, ...]:
        """VMs with the control role."""
        return tuple(vm for vm in self.vms if vm.role == 'control')

    @property
    def entry(self) -> tuple[Vm, ...]:
        """VMs with the entry role."""
        return tuple(vm for vm in self.vms if vm.role == 'entry')

    @property
    def alive(self) -> tuple[Vm, ...]:
        """VMs whose process was started and not stopped."""
        return tuple(vm for vm in self.vms if vm.name in self.running)

    def start(self, vm: Vm, build: Build) -> None:
        """Write the settings of a VM and start it."""
        path = self.folder / f'{vm.name}.toml'
        path.write_text(tomli_w.dumps(self._describe(vm)), encoding='utf-8')
        arguments = ('-m', 'cranberryseam.daemon.main', f'--config={path}')
        self.running[vm.name] = start_process(
            vm.name, build, arguments, self.folder
        )

    def kill(self, vm: Vm) -> None:
        """End a VM with SIGKILL."""
        process = self.running.pop(vm.name)
        process.kill()
        self.ended.append(process)

    def stop(self) -> dict[str, int]:
        """Stop all VMs at once and return their exit codes."""
        for process in self.running.values():
            process.running.terminate()
        codes = {name: each.wait() for name, each in self.running.items()}
        self.ended.extend(self.running.values())
        self.running.clear()
        return codes

    def find_error_lines(self) -> list[str]:
        """Return the lines of all outputs that report internal errors."""
        processes = (*self.running.values(), *self.ended)
        return [line for each in processes for line in each.find_error_lines()]

    def command(
        self, method: str, path: str, body: object = None, limit_s: float = 12
    ) -> Answer:
        """Send a command to the control VMs in turn until one answers it."""
        give_up_at = time.monotonic() + limit_s
        while True:
            for vm in self.control:
                answer = send_request(method, f'{vm.admin}{path}', body)
                if answer.status not in {0, MISDIRECTED, OUTCOME_UNKNOWN}:
                    return answer
            if time.monotonic() > give_up_at:
                return answer
            time.sleep(POLL_INTERVAL_S)

    def find_leader(self) -> Vm | None:
        """Return the control leader, if it has heard from a quorum recently."""
        for vm in self.control:
            answer = send_request('GET', f'{vm.admin}/v1/control')
            body = answer.document['body'] if answer.status == 200 else {}
            if body.get('role') == 'leader' and body['quorum_recent']:
                return vm
        return None

    def _describe(self, vm: Vm) -> dict[str, Any]:
        addresses = {'peers': vm.peers, 'admin': vm.admin}
        if vm.role == 'entry':
            addresses.update(callers=vm.callers, targets=vm.targets)
        if self.attached:
            return self._describe_attached(vm, addresses)
        group = [each.name for each in self.entry[:GROUP_SIZE]]
        return {
            'regions': [REGION],
            'vm': self._name(vm),
            'addresses': addresses,
            'control': {
                'replicas': [each.name for each in self.control],
                'data_folder': str(self.folder / vm.name),
            },
            'admin': {'key_hash': hash_key(ADMIN_KEY)},
            'peers': [
                {**self._name(each), 'address': each.peers}
                for each in self.vms
                if each is not vm
            ],
            'groups': [{'name': 'group', 'region': REGION, 'vms': group}],
        }

    def _describe_attached(
        self, vm: Vm, addresses: dict[str, str]
    ) -> dict[str, Any]:
        seeds = [each.peers for each in self.control]
        if vm.role == 'control':
            addresses['targets'] = vm.targets
        return {
            'regions': [REGION],
            'vm': self._name(vm),
            'addresses': addresses,
            'control': {
                'replicas': seeds,
                'seeds': seeds,
                'forms': True,
                'most_lost': 1,
                'data_folder': str(self.folder / vm.name),
            },
            'admin': {'key_hash': hash_key(ADMIN_KEY)},
            'peers': [
                {**self._name(each), 'address': each.peers}
                for each in self.control
                if each is not vm
            ],
        }

    def _name(self, vm: Vm) -> dict[str, Any]:
        return {
            # Attached VMs have no list of VMs, so the address is the name.
            'name': vm.peers if self.attached else vm.name,
            'region': REGION,
            'data_centre': vm.data_centre,
            'roles': [vm.role],
        }


def plan_vms(first_port: int, control: int, entry: int) -> tuple[Vm, ...]:
    """Return control and entry VMs with their ports, in two data centres."""
    roles = ['control'] * control + ['entry'] * entry
    return tuple(
        Vm(
            f'{role}-{number}',
            role,
            f'{REGION}-{"ab"[number % 2]}',
            first_port + number * PORTS_PER_VM,
        )
        for number, role in enumerate(roles)
    )


@contextmanager
def open_fleet(
    folder: Path, vms: tuple[Vm, ...], attached: bool = False
) -> Iterator[Fleet]:
    """Create a fleet; its processes are stopped at the end."""
    folder.mkdir(exist_ok=True)
    fleet = Fleet(folder, vms, attached)
    try:
        yield fleet
    finally:
        fleet.stop()


def send_raw_message(address: str, raw: bytes) -> None:
    """Send arbitrary bytes as one message to the peer address of a VM."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), CALL_TIMEOUT_S) as link:
        link.sendall(PUSH_GREETING)
        link.recv(len(PUSH_GREETING), socket.MSG_WAITALL)
        link.sendall(struct.pack('>Q', len(raw)) + raw)


def format_json(document: object) -> str:
    """Return a document as JSON, cut to 300 characters."""
    return json.dumps(document, sort_keys=True, default=str)[:300]
