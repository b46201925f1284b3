"""Tests of the output and exit codes of the tool."""

from __future__ import annotations

import contextlib
import io

import testtools
from parameterized import parameterized

from cranberryseam.cli.client import ApiRefused, ApiUnreachable
from cranberryseam.cli.keys import generate_key, hash_key
from cranberryseam.cli.output import (
    describe_failure,
    find_exit_code,
    print_table,
)
from cranberryseam.configuration.documents import InvalidDocument
from cranberryseam.core.errors import Failure, InvalidInput


def _refuse(name: str, **fields: object) -> ApiRefused:
    kind = f'urn:cranberryseam:failure:{name}'
    return ApiRefused('a', 409, {'type': kind, 'title': 'T', **fields})


class OutputTest(testtools.TestCase):
    """Guards against scripts that mistake a failure for a success."""

    @parameterized.expand(
        [
            ('invalid', InvalidDocument(()), 2),
            ('unreachable', ApiUnreachable('a', 'b'), 3),
            ('conflict', _refuse('VersionConflict'), 4),
            ('reused', _refuse('CommandKeyReused'), 4),
            ('unknown', _refuse('OutcomeUnknown'), 6),
            ('other', _refuse('UnknownName'), 1),
        ]
    )
    def test_exit_code(self, _name: str, failure: Failure, code: int) -> None:
        self.assertEqual(find_exit_code(failure), code)

    def test_refusal_includes_its_fields(self) -> None:
        text = describe_failure(_refuse('VersionConflict', in_force=7))
        self.assertIn('in_force=7', text)

    def test_invalid_input_has_one_line_each(self) -> None:
        problem = InvalidInput('f', 'k', 'x', 'y')
        text = describe_failure(InvalidDocument((problem, problem)))
        self.assertEqual(text.splitlines()[0], 'f: k: got x, expected y')

    def test_table_is_aligned(self) -> None:
        written = io.StringIO()
        with contextlib.redirect_stdout(written):
            print_table([{'a': 'long', 'b': 1}, {'a': None}], 'a b')
        self.assertEqual(
            written.getvalue().splitlines(), ['a     b', 'long  1', '-     -']
        )

    def test_keys_are_unique_and_hash_consistently(self) -> None:
        key = generate_key()
        self.assertNotEqual(key, generate_key())
        self.assertEqual(hash_key(key), hash_key(key))
