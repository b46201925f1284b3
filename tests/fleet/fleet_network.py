"""In-memory network that runs gossip and key tables in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from cranberryseam.configuration.settings import (
    Addresses,
    KeySettings,
    PeerSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.codec import Codec
from cranberryseam.core.commands import CommandAnswer
from cranberryseam.core.effects import (
    AnswerAnnouncement,
    AnswerCommand,
    CancelTimer,
    IncrementCounter,
    SendMessage,
    SetReadiness,
    SetTimer,
)
from cranberryseam.core.events import (
    CommandReceived,
    MessageReceived,
    Started,
    TimerFired,
)
from cranberryseam.core.notices import (
    ConfigurationChanged,
    KeysWithdrawn,
    MemberChanged,
    Notice,
    TargetChanged,
)
from cranberryseam.fleet import MESSAGES, Gossip
from cranberryseam.keys import KeyTable

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = ('dar', 'aru', 'mwz')
WALL_S = 1_800_000_000.0
LOCAL_DELAY_S = 0.0015
CROSS_REGION_DELAY_S = 0.03


class Vm:
    """Event handlers of one VM and their latest notices."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.gossip = Gossip(settings, rng)
        self.keys = KeyTable(settings)
        self.timers: dict[tuple[str, str], int] = {}
        self.ready = False
        self.configuration = None
        self.versions: list[tuple[float, int]] = []
        self.members: dict[str, str] = {}
        self.targets: dict[str, TargetChanged] = {}
        self.withdrawn: set[str] = set()


class Network:
    """Simulated VMs, links and faults.

    Each VM has a few configured peers. All messages pass through the codec, so
    byte counts equal those on the wire without transport framing.
    """

    def __init__(
        self, size: int, seed: int, *, loss: float = 0.0, **options: object
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.spread_s = float(options.pop('spread_s', 0.002))  # type: ignore[arg-type]
        self.controls = int(options.pop('controls', 3))  # type: ignore[arg-type]
        self.isolation = str(options.pop('isolation', 'vm'))
        self.region_count = int(options.pop('region_count', 3))  # type: ignore[arg-type]
        self.now = 0.0
        self.codec = Codec(MESSAGES)
        self.blocked_links: set[tuple[str, str]] = set()
        self.frozen: dict[str, float] = {}
        self.vms: dict[str, Vm] = {}
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.max_message_bytes = 0
        self.bytes_by_message: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        self.answers: dict[int, object] = {}
        self.changes: list[tuple[float, str, Notice]] = []
        self.observer: Callable[[str, Vm], None] = lambda name, vm: None
        self._queue: list[tuple[float, int, str, object]] = []
        self._paused_events: dict[str, list[object]] = defaultdict(list)
        self._order = 0
        self.names = [f'vm{number:04d}' for number in range(size)]
        for name in self.names:
            self.start(name)

    def region(self, name: str) -> str:
        return REGIONS[int(name[2:]) % self.region_count]

    def is_control(self, name: str) -> bool:
        return int(name[2:]) < self.controls

    def settings(self, name: str) -> Settings:
        seeds = [other for other in self.names[:6] if other != name]
        roles = ('entry', 'control') if self.is_control(name) else ('entry',)
        return Settings(
            vm=VmSettings(name, self.region(name), 'dc1', roles),
            addresses=Addresses(peers=f'10.0.0.{int(name[2:])}:7000'),
            regions=REGIONS,
            keys=KeySettings(isolation=self.isolation),
            peers=tuple(
                PeerSettings(
                    seed,
                    self.region(seed),
                    'dc1',
                    f'10.0.0.{int(seed[2:])}:7000',
                    ('entry', 'control')
                    if self.is_control(seed)
                    else ('entry',),
                )
                for seed in seeds
            ),
        )

    def start(self, name: str) -> None:
        """Start or restart a VM without any previous state or timers."""
        self._paused_events.pop(name, None)
        self.frozen.pop(name, None)
        rng = random.Random(self.rng.random())
        self.vms[name] = Vm(self.settings(name), rng)
        self.deliver(name, Started(self.now, WALL_S + self.now))

    def stop(self, name: str) -> None:
        self.vms.pop(name)

    def deliver(self, name: str, event: object) -> None:
        vm = self.vms[name]
        outputs = [*vm.gossip.handle(event), *vm.keys.handle(event)]
        while outputs:
            output = outputs.pop(0)
            if isinstance(output, Notice):
                self._record_notice(name, vm, output)
                outputs[:0] = vm.keys.handle(output)
            else:
                self._execute(name, vm, output)
        self.observer(name, vm)

    def command(self, name: str, command: object) -> CommandAnswer:
        self._order += 1
        number = self._order
        self.deliver(name, CommandReceived(self.now, number, command))
        return self.answers.pop(number)

    def run(self, seconds: float, until: Callable[[], bool] | None = None):
        """Run and return the time at which ``until`` became true, or None."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, name, event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            self._dispatch(name, event)
            if until is not None and until():
                return self.now
        self.now = end
        return None

    def block_link(
        self, one: str, other: str, *, one_way: bool = False
    ) -> None:
        self.blocked_links.add((one, other))
        if not one_way:
            self.blocked_links.add((other, one))

    def isolate(self, name: str) -> None:
        for other in self.names:
            self.block_link(name, other)

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a VM; its queued events are delivered afterwards."""
        self.frozen[name] = self.now + seconds
        self._push(self.now + seconds, name, None)

    def _dispatch(self, name: str, event: object) -> None:
        vm = self.vms.get(name)
        if vm is None:
            return
        if event is None:
            self.frozen.pop(name, None)
            for paused_event in self._paused_events.pop(name, []):
                self._handle(name, paused_event)
        elif name in self.frozen:
            self._paused_events[name].append(event)
        else:
            self._handle(name, event)

    def _handle(self, name: str, event: object) -> None:
        vm = self.vms[name]
        if isinstance(event, tuple):
            key, number = event
            if vm.timers.get(key) != number:
                return
            vm.timers.pop(key)
            self.deliver(name, TimerFired(self.now, *key))
        else:
            envelope = self.codec.decode(event).ok
            self.received[name] += len(event)
            self.deliver(
                name,
                MessageReceived(self.now, envelope.sender, envelope.message),
            )

    def _record_notice(self, name: str, vm: Vm, notice: Notice) -> None:
        if isinstance(notice, ConfigurationChanged):
            vm.configuration = notice.configuration
            vm.versions.append((self.now, notice.configuration.version))
        elif isinstance(notice, MemberChanged):
            vm.members[notice.vm] = notice.status.value
        elif isinstance(notice, TargetChanged):
            vm.targets[notice.announcement.target] = notice
        elif isinstance(notice, KeysWithdrawn):
            vm.withdrawn.update(notice.key_ids)
        if isinstance(notice, MemberChanged | TargetChanged):
            self.changes.append((self.now, name, notice))

    def _execute(self, name: str, vm: Vm, effect: object) -> None:
        if isinstance(effect, SendMessage):
            self._send(name, effect)
        elif isinstance(effect, SetTimer):
            self._order += 1
            key = (effect.component, effect.name)
            vm.timers[key] = self._order
            self._push(max(effect.at, self.now), name, (key, self._order))
        elif isinstance(effect, CancelTimer):
            vm.timers.pop((effect.component, effect.name), None)
        elif isinstance(effect, SetReadiness):
            vm.ready = effect.ready
        elif isinstance(effect, AnswerCommand):
            self.answers[effect.command_id] = effect.answer
        elif isinstance(effect, AnswerAnnouncement):
            self.answers[effect.reply_id] = effect.failure
        elif isinstance(effect, IncrementCounter):
            self.counters[effect.name] += effect.by

    def _send(self, name: str, effect: SendMessage) -> None:
        raw = self.codec.encode(name, effect.message)
        self.sent[name] += len(raw)
        self.max_message_bytes = max(self.max_message_bytes, len(raw))
        self.bytes_by_message[type(effect.message).__name__] += len(raw)
        is_lost = self.rng.random() < self.loss
        if is_lost or (name, effect.to) in self.blocked_links:
            return
        is_cross_region = self.region(name) != self.region(effect.to)
        delay = CROSS_REGION_DELAY_S if is_cross_region else LOCAL_DELAY_S
        delay += self.rng.random() * self.spread_s
        self._push(self.now + delay, effect.to, raw)

    def _push(self, at: float, name: str, event: object) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, name, event))
