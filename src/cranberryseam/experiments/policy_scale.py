"""Measure the cost of one router at the scale of the design page.

Run ``python -m cranberryseam.experiments.policy_scale``.
"""

from __future__ import annotations

import random
import time
import tracemalloc

import attrs
import fire

from ..configuration.settings import Addresses, Settings, VmSettings
from ..core.codec import Codec
from ..core.effects import SendMessage
from ..core.events import Announcement, Started, TargetState, TimerFired
from ..core.notices import SlotAssigned, TargetChanged
from ..routing import MESSAGES, AdmitRequest, AttemptOutcome, Router
from ..types import AccountId, RequestId, ServiceName, TargetId, VmId

_REGIONS = ('a', 'b', 'c')
_DATA_CENTRES_PER_REGION = 4
_RATE = 140.0
_LATENCY_S = 0.06
_DEADLINE_S = 2.0
_MIB = 1048576
_ACCOUNTS = 500
_US_PER_S = 1000000


class RemoteLeader:
    """Ownership in which another VM of the region is always the leader."""

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the fixed leader of a region."""
        return VmId(f'{region}-leader')

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return False, since this VM is never the leader."""
        return False


@attrs.define(eq=False)
class RequestLoad:
    """Request load of one node, distributed over the services."""

    router: Router
    services: int
    rng: random.Random
    steps: int = 0
    sent_bytes: int = 0
    messages: int = 0

    def run(self, seconds: float) -> None:
        """Send requests at the rate of one node for some simulated seconds."""
        codec = Codec(MESSAGES)
        pending: list[tuple[float, RequestId]] = []
        for number in range(int(seconds * _RATE)):
            at = number / _RATE
            if not number % int(_RATE):
                self._tick(codec, at)
            while pending and pending[0][0] <= at:
                ended = pending.pop(0)[1]
                self.router.release(ended, AttemptOutcome.succeeded, at)
                self.steps += 1
            for output in self.router.admit(self._request(number, at), at):
                if isinstance(output, SlotAssigned):
                    pending.append((at + _LATENCY_S, output.request_id))
            self.steps += 1

    def _tick(self, codec: Codec, at: float) -> None:
        for output in self.router.handle(TimerFired(at, 'routing', 'tick')):
            if isinstance(output, SendMessage):
                encoded = codec.encode(VmId('a-node'), output.message)
                self.sent_bytes += len(encoded)
                self.messages += 1

    def _request(self, number: int, at: float) -> AdmitRequest:
        service = int(self.rng.random() * self.services)
        account = int(self.rng.random() * _ACCOUNTS)
        return AdmitRequest(
            request_id=RequestId(number),
            service=ServiceName(f'service{service}'),
            account=AccountId(f'account{account}'),
            weight=1,
            lane='interactive',
            deadline_at=at + _DEADLINE_S,
            retriable=True,
        )


def measure(
    targets: int = 9400,
    services: int = 160,
    seconds: int = 60,
    seed: int = 1,
) -> None:
    """Print memory use, steps per second and report traffic of a router.

    Parameters
    ----------
    seconds
        Simulated seconds at 140 requests/s.

    """
    settings = Settings(
        VmSettings('a-node', 'a', 'a0'), Addresses('192.0.2.1:1'), _REGIONS
    )
    announcements = [
        _build_announcement(number, services) for number in range(targets)
    ]
    tracemalloc.start()
    router = Router(settings, RemoteLeader(), random.Random(seed))
    router.handle(Started(0, 0))
    for announcement in announcements:
        router.handle(TargetChanged(0, announcement))
    load = RequestLoad(router, services, random.Random(seed))
    load.run(seconds)
    memory_mib = tracemalloc.get_traced_memory()[0] / _MIB
    tracemalloc.stop()
    timed_load = RequestLoad(router, services, random.Random(seed))
    started = time.process_time()
    timed_load.run(seconds)
    cpu_s = time.process_time() - started
    figures = {
        'memory_mib': round(memory_mib, 1),
        'steps_per_s': round(timed_load.steps / cpu_s),
        'us_per_step': round(cpu_s / timed_load.steps * _US_PER_S, 1),
        'report_bytes_per_s': round(load.sent_bytes / seconds),
        'reports_per_s': round(load.messages / seconds, 1),
    }
    print(figures)  # noqa: WPS421 (output of a command)


def _build_announcement(number: int, services: int) -> Announcement:
    region = _REGIONS[number % len(_REGIONS)]
    data_centre = region + str(
        number // len(_REGIONS) % _DATA_CENTRES_PER_REGION
    )
    service = number % services
    return Announcement(
        target=TargetId('-'.join(('target', data_centre, str(number)))),
        service=ServiceName(f'service{service}'),
        host='192.0.2.1',
        port=80,  # noqa: WPS432 (HTTP)
        region=region,
        data_centre=data_centre,
        slots=4,
        connections=330,  # noqa: WPS432 (from the design page)
        state=TargetState.ready,
        sequence=1,
    )


if __name__ == '__main__':
    fire.Fire(measure)

__all__ = ('measure',)
