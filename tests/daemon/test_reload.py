"""Tests of reloading the settings at runtime."""

from __future__ import annotations

import asyncio
import os
import signal

import attrs
from expression import Error, Ok, Result
from testtools import TestCase

from cranberryseam.configuration.settings import (
    Addresses,
    ControlSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.errors import Failure, InvalidInput
from cranberryseam.daemon.program import open_program
from cranberryseam.daemon.servers import Interfaces

SEED = '127.0.0.1:1'
OTHER_SEED = '127.0.0.1:2'
ANY_PORT = '127.0.0.1:0'
WAIT_S = 0.3


def _build_settings() -> Settings:
    return Settings(
        VmSettings('vm-1', 'fleet', 'dc-1'),
        Addresses(ANY_PORT, metrics=ANY_PORT),
        ('fleet',),
        control=ControlSettings(seeds=(SEED,)),
    )


class ReloadTest(TestCase):
    """SIGHUP reloads the settings without ending the process."""

    def _hang_up(self, changed: Result[Settings, Failure]) -> tuple[str, ...]:
        interfaces = Interfaces(reload=lambda: changed)

        async def scenario() -> tuple[str, ...]:
            with open_program(_build_settings(), interfaces) as program:
                running = asyncio.create_task(program.ok.run())
                await asyncio.sleep(WAIT_S)
                os.kill(os.getpid(), signal.SIGHUP)
                await asyncio.sleep(WAIT_S)
                assert not running.done()
                program.ok.stopped.set()
                await running
                return program.ok.seeds

        return asyncio.run(scenario())

    def test_new_seeds(self) -> None:
        """Guards against SIGHUP that terminates the process."""
        settings = _build_settings()
        control = attrs.evolve(settings.control, seeds=(OTHER_SEED,))
        changed = attrs.evolve(settings, control=control)
        self.assertEqual(self._hang_up(Ok(changed)), (OTHER_SEED,))

    def test_invalid_settings(self) -> None:
        """Guards against applying a partially written settings file."""
        failure = InvalidInput('settings.toml', '', 'half', 'a whole file')
        self.assertEqual(self._hang_up(Error(failure)), (SEED,))
