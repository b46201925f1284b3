"""Tests of the statuses of typed failures."""

from __future__ import annotations

import inspect

import testtools

from cranberryseam.core import commands
from cranberryseam.core.errors import Failure
from cranberryseam.fleet import announcements
from cranberryseam.serving.failures import find_status


def _list_failures(module: object) -> list[type[Failure]]:
    return [
        kind
        for _name, kind in inspect.getmembers(module, inspect.isclass)
        if issubclass(kind, Failure) and kind is not Failure
    ]


class StatusTest(testtools.TestCase):
    """Guards against refused commands that look like internal errors."""

    def test_every_failure_has_its_status(self) -> None:
        kinds = _list_failures(commands) + _list_failures(announcements)
        self.assertGreater(len(kinds), 10)
        for kind in kinds:
            fields = inspect.signature(kind).parameters
            failure = kind(**dict.fromkeys(fields, 'x'))
            self.assertNotEqual(find_status(failure), 500, kind.__name__)
