"""Tests of what targets say of themselves in the heads of their answers."""

from __future__ import annotations

from adapter.dialect import DIALECT
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.events import TargetStatement
from cranberryseam.serving.asgi import HeaderList
from cranberryseam.serving.dialect import DEFAULT_DIALECT, Dialect
from cranberryseam.serving.statements import read_statement, remove_statement

_DIALECTS = (('own', DEFAULT_DIALECT), ('platform', DIALECT))


def _read(
    dialect: Dialect, headers: HeaderList, status: int = 200
) -> TargetStatement:
    return read_statement(status, headers, dialect)


class StatementTest(TestCase):
    """Headers of answers, on both interfaces."""

    @parameterized.expand(
        [
            (name, dialect, value, max_rate)
            for name, dialect in _DIALECTS
            for value, max_rate in (
                (b'5.3', 5.3),
                (b'12', 12.0),
                (b'0', 0.0),
                (b'-1', None),
                (b'1e400', None),
                (b'nan', None),
                (b'\xb2', None),
                (b'9' * 400, None),
            )
        ]
    )
    def test_rate_limit(
        self, _: str, dialect: Dialect, value: bytes, max_rate: float | None
    ) -> None:
        """Guards against a rate limit that is not read, and against an
        invalid one that ends a request.
        """
        headers = [(dialect.rate_limit_header, value)]
        statement = _read(dialect, headers)
        self.assertEqual(statement.max_rate, max_rate)
        self.assertEqual(statement.is_valid, max_rate is not None)

    @parameterized.expand(_DIALECTS)
    def test_nothing_stated(self, _: str, dialect: Dialect) -> None:
        """Guards against a limit that outlasts the answers that state it."""
        self.assertEqual(_read(dialect, []), TargetStatement())

    @parameterized.expand(
        [
            (name, dialect, value, leaving, is_valid)
            for name, dialect in _DIALECTS
            for value, leaving, is_valid in (
                (b'1', True, True),
                (b'0', False, True),
                (b'yes', False, False),
                (b'', False, False),
            )
        ]
    )
    def test_leaving(
        self,
        _: str,
        dialect: Dialect,
        value: bytes,
        leaving: bool,
        is_valid: bool,
    ) -> None:
        """Guards against a target whose departure is not read."""
        statement = _read(dialect, [(dialect.leaving_header, value)])
        self.assertEqual(
            (statement.leaving, statement.is_valid), (leaving, is_valid)
        )

    @parameterized.expand(
        [
            (name, dialect, status, value, pause_s)
            for name, dialect in _DIALECTS
            for status, value, pause_s in (
                (503, b'2', 2),
                (503, b'0.5', 0.5),
                (503, b'-2', 0),
                (503, b'soon', 0),
                (429, b'2', 0),
                (200, b'2', 0),
            )
        ]
    )
    def test_pause(
        self,
        _: str,
        dialect: Dialect,
        status: int,
        value: bytes,
        pause_s: float,
    ) -> None:
        """Guards against a pause that is not read, or read where none is."""
        statement = _read(dialect, [(b'retry-after', value)], status)
        self.assertEqual(statement.pause_s, pause_s)

    @parameterized.expand(_DIALECTS)
    def test_repeated(self, _: str, dialect: Dialect) -> None:
        """Guards against one of two contradicting values."""
        names = (dialect.rate_limit_header, dialect.leaving_header)
        headers = [(name, b'1') for name in names for _ in range(2)]
        statement = _read(dialect, headers)
        self.assertEqual(
            statement, TargetStatement(None, False, 0, is_valid=False)
        )

    @parameterized.expand(_DIALECTS)
    def test_callers_get_no_statement(self, _: str, dialect: Dialect) -> None:
        """Guards against headers for this fleet that reach the callers."""
        kept = (b'content-type', b'text/plain')
        headers = [(dialect.rate_limit_header, b'1'), kept]
        headers.append((dialect.leaving_header, b'1'))
        self.assertEqual(remove_statement(headers, dialect), [kept])
