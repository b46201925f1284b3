"""Simulated fleet with VMs attached to the control leader."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs

from cranberryseam.configuration.model import (
    WILDCARD,
    Account,
    Document,
    Key,
    Lists,
    Plan,
    Route,
    Service,
)
from cranberryseam.configuration.settings import (
    Addresses,
    ControlSettings,
    KeySettings,
    LimitSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core import events as ev
from cranberryseam.core.commands import CommandAnswer
from cranberryseam.core.documents import PutDocument, ReadDocument
from cranberryseam.types import AccountId, KeyId, ServiceName, TargetId
from tests.integration.harness import WALL_S, Fleet, Target

CONTROL = ('c1', 'c2', 'c3', 'c4', 'c5')
ENTRIES = ('e1', 'e2', 'e3')
SEEDS = CONTROL[:3]
FORMATION_S = 4.0
# Limits tolerated by the platform of the users.
LIMITS = LimitSettings(early_share=0.5, early_tokens=4)
_MS_PER_S = 1000


def make_settings(name: str, *, forms: bool = True) -> Settings:
    """Return the settings of a control or an entry VM."""
    control = name.startswith('c')
    return Settings(
        vm=VmSettings(
            name, 'fleet', f'dc-{name[1]}', ('control',) if control else ()
        ),
        addresses=Addresses(peers=''),
        regions=('fleet',),
        control=ControlSettings(
            replicas=SEEDS, seeds=SEEDS, forms=forms, most_lost=2
        ),
        keys=KeySettings(freshness_s=4.5),
        limits=LIMITS,
    )


def make_document(
    version: int, accounts: tuple[str, ...] = ('asha',), rate: float = 100
) -> PutDocument:
    """Return a document whose accounts use their name as API key."""
    return PutDocument(
        Document(version, f'{version} {accounts}'.encode()),
        Lists(
            accounts=tuple(
                Account(AccountId(name), 'all', home='fleet')
                for name in accounts
            ),
            plans=(Plan('all', rate, int(rate), 1, (WILDCARD,)),),
            routes=(
                Route(
                    'catalogue',
                    ServiceName('katalogi'),
                    '/catalogue',
                    (WILDCARD,),
                    most_attempts=2,
                ),
            ),
            services=(Service(ServiceName('katalogi'), floor=0.7),),
        ),
        tuple(
            Key(KeyId(name), AccountId(name), name.encode())
            for name in accounts
        ),
    )


def make_announcement(
    name: str = 't1',
    *,
    state: ev.TargetState = ev.TargetState.ready,
    sequence: int = 1,
    born_ms: int = 1,
    port: int = 1,
    service: str = 'katalogi',
) -> ev.Announcement:
    """Return an announcement of a target of the catalogue service."""
    return ev.Announcement(
        TargetId(name),
        ServiceName(service),
        '127.0.0.1',
        port,
        'fleet',
        'dc-1',
        8,
        400,
        state,
        sequence,
        born_ms,
    )


class AttachedFleet(Fleet):
    """Fleet of complete reducers of control and entry VMs."""

    def leader(self) -> str:
        """Return the control VM confirmed as leader by a quorum, or empty."""
        for name in CONTROL:
            run = self.processes.get(name)
            replica = run and run.node._component_by_name['control']
            leader_status = replica and replica.find_leader_status()
            if leader_status and self.now - leader_status.confirmed_at < 1:
                return name
        return ''

    def count_voters(self) -> int:
        """Return the number of voters known to the leader."""
        replica = self.processes[self.leader()].node._component_by_name[
            'control'
        ]
        return len(replica._context.log.membership.voters)

    def put(self, document: PutDocument) -> object:
        """Send a document to the leader and return the answer."""
        answer = self.command(self.leader(), document)
        self.run_until(answer, 3)
        return answer()

    def read(self) -> Document:
        """Return the document read at the leader."""
        self.run_until(self.leader, 10)
        answer = self.command(self.leader(), ReadDocument())
        self.run_until(answer, 3)
        body = answer().body
        assert isinstance(body, Document), body
        return body

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds since the Unix epoch."""
        return round((WALL_S + self.now) * _MS_PER_S)

    def lose_disk(self, name: str) -> None:
        """Delete the data folder of a stopped control VM."""
        shutil.rmtree(self.data_folder(name))

    def restart(self, name: str) -> None:
        """Start a VM again, without forming a new control log."""
        self.settings[name] = make_settings(name, forms=False)
        self.start(name)

    def reason(self, vm: str, account: str = 'asha') -> str:
        """Return the refusal reason of a VM, empty if it serves the request."""
        call = self.call(vm, account)
        self.run(0.5)
        return call.reason


@contextmanager
def run_fleet(seed: int = 1) -> Iterator[AttachedFleet]:
    """Run a fleet with a formed control log, a document and a target."""
    names = (*CONTROL, *ENTRIES)
    with tempfile.TemporaryDirectory() as folder:
        fleet = AttachedFleet(
            Path(folder), seed, {name: make_settings(name) for name in names}
        )
        for target in ('t1', 't2'):
            fleet.targets[target] = Target(target, 'katalogi')
        for name in names:
            fleet.start(name)
        fleet.run(FORMATION_S)
        assert isinstance(fleet.put(make_document(1)), CommandAnswer)
        accepted = fleet.announce('c2', make_announcement())
        fleet.run_until(accepted, 1)
        fleet.run(1)
        yield fleet
        for run in tuple(fleet.processes.values()):
            run.stack.close()


def replace_content(document: PutDocument, raw: bytes) -> PutDocument:
    """Return a document with the same version and other content."""
    changed = Document(document.document.version, raw)
    return attrs.evolve(document, document=changed)
