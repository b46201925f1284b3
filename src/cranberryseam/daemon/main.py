"""Entry point of ``cranberryseamd``."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from functools import partial
from typing import Final

import anyio
import pynng
from expression import Result

from ..configuration.files import load_settings
from ..configuration.settings import Settings
from ..core.errors import Failure
from .logs import configure_logs
from .program import open_program
from .servers import PRODUCT_INTERFACES, Interfaces

EXIT_FAILED: Final = 1
EXIT_UNUSABLE_SETTINGS: Final = 2
EXIT_UNUSABLE_DISK: Final = 3
EXIT_UNUSABLE_ADDRESS: Final = 4
# Collections of the youngest generation stop all requests; with the default of
# 700 allocations there are several per request.
COLLECT_AFTER_ALLOCATIONS: Final = 50_000


def run_daemon(config: str) -> None:
    """Run one process of the fleet until it is told to stop.

    SIGTERM drains: requests in progress end, then the process exits with 0.

    Parameters
    ----------
    config
        Path of the TOML settings file.

    """
    run_process(config, partial(load_settings, config), PRODUCT_INTERFACES)


def run_process(
    config: str,
    load: Callable[[], Result[Settings, Failure]],
    interfaces: Interfaces,
) -> None:
    """Run one process with settings of any format.

    Parameters
    ----------
    config
        Path of the settings, for messages.
    load
        Reads the settings.
    interfaces
        How the process speaks to its surroundings.

    """
    settings = load()
    if settings.is_error():
        _exit_with(str(settings.error), EXIT_UNUSABLE_SETTINGS)
    name = settings.ok.log_name or settings.ok.vm.name
    configure_logs(name, settings.ok.log_level)
    _relax_collector()
    try:
        _run(settings.ok, interfaces)
    except (OSError, pynng.NNGException) as error:
        _exit_with(f'{config}: addresses: {error}', EXIT_UNUSABLE_ADDRESS)


def main() -> None:
    """Read the command line of the daemon."""
    import fire  # noqa: WPS433 - a tenth of a second that only this needs

    fire.Fire(run_daemon, name='cranberryseamd')


def _run(settings: Settings, interfaces: Interfaces) -> None:
    with open_program(settings, interfaces) as program:
        if program.is_error():
            folder = settings.control.data_folder
            _exit_with(f'{folder}: {program.error}', EXIT_UNUSABLE_DISK)
        anyio.run(program.ok.run, backend_options={'use_uvloop': True})
        if program.ok.executor.failed:
            _exit_with('stopped after an internal error', EXIT_FAILED)


def _relax_collector() -> None:
    """Keep the garbage collector off what lives as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_ALLOCATIONS)
    # An entry point may have switched it off while modules were loaded.
    gc.enable()


def _exit_with(message: str, code: int) -> None:
    sys.stderr.write(f'{message}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()

__all__ = ('main', 'run_daemon', 'run_process')
