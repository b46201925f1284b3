"""Base classes of all typed failures."""

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
        File or interface that contains the value.
    key
        Path of the value inside the source.
    came
        The invalid value, or a description of it.
    expected
        Description of valid values.

    """

    source: str
    key: str
    came: str
    expected: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return (
            f'{self.source}: {self.key}: got {self.came}, '
            f'expected {self.expected}'
        )


__all__ = ('Failure', 'InvalidInput')
