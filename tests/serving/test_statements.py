"""Tests of what targets say of themselves in the heads of their answers."""

from __future__ import annotations

from adapter.dialect import DIALECT
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.events import TargetStatement
from cranberryseam.serving.asgi import HeaderList
from cranberryseam.serving.dialect import DEFAULT_DIALECT, Dialect
from cranberryseam.serving.responses import TargetResponse

_DIALECTS = (('own', DEFAULT_DIALECT), ('platform', DIALECT))


async def _no_chunks():
    for chunk in ():
        yield chunk


def _read(dialect: Dialect, headers: HeaderList) -> TargetStatement:
    return TargetResponse(200, headers, _no_chunks(), dialect).statement


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
        self.assertEqual(_read(dialect, headers).max_rate, max_rate)

    @parameterized.expand(_DIALECTS)
    def test_nothing_stated(self, _: str, dialect: Dialect) -> None:
        """Guards against a limit that outlasts the answers that state it."""
        self.assertEqual(_read(dialect, []), TargetStatement())
