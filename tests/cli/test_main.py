"""Tests of the tool's command line."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.cli.main import order_arguments


class ArgumentsTest(testtools.TestCase):
    """Guards against ``--json`` taking the command for its value."""

    @parameterized.expand(
        [
            ('none', 'lists show', 'lists show'),
            ('first', '--json lists show', '--json=True lists show'),
            ('last', 'lists show --json', '--json=True lists show'),
        ]
    )
    def test_order(self, _name: str, given: str, ordered: str) -> None:
        self.assertEqual(order_arguments(given.split()), ordered.split())
