"""Tests of command-line parsing."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.cli.main import normalise_json_flag


class ArgumentsTest(testtools.TestCase):
    """Guards against ``--json`` consuming the command as its value."""

    @parameterized.expand(
        [
            ('none', 'lists show', 'lists show'),
            ('first', '--json lists show', '--json=True lists show'),
            ('last', 'lists show --json', '--json=True lists show'),
        ]
    )
    def test_json_flag(self, _name: str, given: str, normalised: str) -> None:
        self.assertEqual(normalise_json_flag(given.split()), normalised.split())
