"""Routers, announcements and requests for the routing tests."""

from __future__ import annotations

import random

from cranberryseam.configuration.model import Configuration, Service
from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    VmSettings,
)
from cranberryseam.core.events import Announcement, Started, TargetState
from cranberryseam.core.notices import (
    ConfigurationChanged,
    SlotAssigned,
    SlotDenied,
    TargetChanged,
)
from cranberryseam.routing import AdmitRequest, Router, Tuning


class OneLeader:
    """Leader lookup of the VM ``vm``; ``v0`` leads all services."""

    def __init__(self, vm: str) -> None:
        self.vm = vm

    def leader_of(self, region: str, shard_key: str) -> str:
        return 'v0'

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        return self.vm == 'v0'


def announce(
    name: str,
    centre: str = 'r1',
    slots: int = 4,
    state: TargetState = TargetState.ready,
    region: str = 'r',
) -> Announcement:
    return Announcement(
        name, 'work', 'h', 80, region, centre, slots, 330, state, 1
    )


def create_router(
    *announcements: Announcement,
    vm: str = 'v0',
    tuning: Tuning | None = None,
    floor: float = 0.5,
) -> Router:
    settings = Settings(VmSettings(vm, 'r', 'r1'), Addresses('x:1'), ('r',))
    router = Router(settings, OneLeader(vm), random.Random(1), tuning)
    router.handle(Started(0, 0))
    services = {'work': Service('work', floor)}
    router.handle(ConfigurationChanged(0, Configuration(1, services=services)))
    for announcement in announcements:
        router.handle(TargetChanged(0, announcement))
    return router


def make_request(number: int, **changes: object) -> AdmitRequest:
    fields: dict[str, object] = {
        'request_id': number,
        'service': 'work',
        'account': 'account',
        'weight': 1,
        'lane': 'interactive',
        'deadline_at': 1000.0,
        'retriable': True,
    }
    return AdmitRequest(**{**fields, **changes})


def assigned(outputs: list) -> list:
    return [out for out in outputs if isinstance(out, SlotAssigned)]


def denied(outputs: list) -> list:
    return [out.reason.value for out in outputs if isinstance(out, SlotDenied)]
