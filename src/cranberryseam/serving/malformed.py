"""Failure of requests that are refused before they reach the reducer."""

from __future__ import annotations

import attrs

from ..core.errors import Failure
from ..core.refusals import RefusalReason


@attrs.frozen
class BadRequest(Failure):
    """A request that breaks a rule of framing.

    Parameters
    ----------
    detail
        The broken rule, without any value from the request.

    """

    reason: RefusalReason
    detail: str


def malformed(detail: str) -> BadRequest:
    """Return a failure with the reason ``malformed_request``."""
    return BadRequest(RefusalReason.malformed_request, detail)


__all__ = ('BadRequest', 'malformed')
