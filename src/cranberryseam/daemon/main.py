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
from .servers import DEFAULT_INTERFACES, Interfaces

EXIT_INTERNAL_ERROR: Final = 1
EXIT_INVALID_SETTINGS: Final = 2
EXIT_STORAGE_UNAVAILABLE: Final = 3
EXIT_ADDRESS_UNAVAILABLE: Final = 4
# A collection of the youngest generation blocks all requests, and the default
# threshold of 700 allocations triggers several per request.
GC_THRESHOLD_ALLOCATIONS: Final = 50_000


def run_daemon(config: str) -> None:
    """Run one process of the fleet until it is told to stop.

    SIGTERM drains: requests in progress end, then the process exits with 0.

    Parameters
    ----------
    config
        Path of the TOML settings file.

    """
    run_process(config, partial(load_settings, config), DEFAULT_INTERFACES)


def run_process(
    config: str,
    read_settings: Callable[[], Result[Settings, Failure]],
    interfaces: Interfaces,
) -> None:
    """Run one process with settings from any source.

    Parameters
    ----------
    config
        Path of the settings, used in error messages.
    read_settings
        Reads the settings.
    interfaces
        External interfaces of the process.

    """
    settings = read_settings()
    if settings.is_error():
        _exit_with(str(settings.error), EXIT_INVALID_SETTINGS)
    name = settings.ok.log_name or settings.ok.vm.name
    configure_logs(name, settings.ok.log_level)
    _configure_gc()
    try:
        _run(settings.ok, interfaces)
    except (OSError, pynng.NNGException) as error:
        _exit_with(f'{config}: addresses: {error}', EXIT_ADDRESS_UNAVAILABLE)


def main() -> None:
    """Run the daemon with the arguments of the command line."""
    import fire  # noqa: WPS433 - takes 0.1 s, used only here

    fire.Fire(run_daemon, name='cranberryseamd')


def _run(settings: Settings, interfaces: Interfaces) -> None:
    with open_program(settings, interfaces) as program:
        if program.is_error():
            folder = settings.control.data_folder
            _exit_with(f'{folder}: {program.error}', EXIT_STORAGE_UNAVAILABLE)
        anyio.run(program.ok.run, backend_options={'use_uvloop': True})
        if program.ok.executor.failed:
            _exit_with(
                'stopped because of an internal error', EXIT_INTERNAL_ERROR
            )


def _configure_gc() -> None:
    """Exempt startup objects from garbage collection and run it less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    # An entry point may have disabled collection during imports.
    gc.enable()


def _exit_with(message: str, code: int) -> None:
    sys.stderr.write(f'{message}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()

__all__ = ('main', 'run_daemon', 'run_process')
