"""Base class of all typed failures."""

from __future__ import annotations

import attrs


@attrs.frozen
class Failure:
    """Base of all failures that are returned as values."""


@attrs.frozen
class InvalidInput(Failure):
    """A value from outside that can't be used.

    Parameters
    ----------
    source
        File or interface the value came from.
    key
        Path of the value inside the source.
    came
        What was found.
    expected
        What would have been accepted.

    """

    source: str
    key: str
    came: str
    expected: str

    def __str__(self) -> str:
        """Render one line for a log or a terminal."""
        return (
            f'{self.source}: {self.key}: got {self.came}, '
            f'expected {self.expected}'
        )


__all__ = ('Failure', 'InvalidInput')
