"""The failure of a request that is refused before the reducer sees it."""

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
        Which rule, without any value that the caller sent.

    """

    reason: RefusalReason
    detail: str


def malformed(detail: str) -> BadRequest:
    """Return the failure for most broken rules."""
    return BadRequest(RefusalReason.malformed_request, detail)


__all__ = ('BadRequest', 'malformed')
