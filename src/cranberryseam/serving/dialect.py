"""Names that callers, targets and this proxy use towards each other."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import attrs

from ..core.refusals import Ran, Refusal, RefusalReason

_SHEDDING: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


@attrs.frozen
class Dialect:
    """Header names and statuses; the defaults are the product's own.

    An empty name means that the header isn't used.

    Parameters
    ----------
    ready_path
        Path at which the balancer asks whether this VM takes callers.
    caller_timeout
        Milliseconds that the caller is willing to wait.
    caller_id
        Identifier that the caller gave to the request; a target repeats it.
    idempotency_key
        Key under which copies of a request run once.
    key_scheme
        Scheme of ``Authorization``, in lower case.
    target_deadline
        Milliseconds that are left to the target.
    expected_target
        Tells the target which one the request is for.
    account
        Tells the target which client account the request is from.
    not_run, not_run_value
        Header by which a target says that it did not run the request, and
        its value; an empty value means any.
    not_run_statuses
        Statuses with which ``not_run`` is believed; empty means all.
    proof
        Header without which a success isn't from the target.
    keeps_host
        Whether targets get the caller's ``Host``.
    ends_with_connection
        Whether an answer may end with its connection instead of a length.
    fractions
        Whether ``Retry-After`` may have fractions of a second.
    not_run_refusals, unknown_refusals
        Statuses by reason in place of the product's own, for refusals that
        say "not run" and for all others.

    """

    ready_path: bytes = b'/-/ready'
    caller_timeout: bytes = b'request-timeout-ms'
    caller_id: bytes = b''
    idempotency_key: bytes = b'idempotency-key'
    key_scheme: bytes = b'bearer'
    target_deadline: bytes = b'cranberryseam-deadline-ms'
    expected_target: bytes = b''
    account: bytes = b''
    not_run: bytes = b'cranberryseam-not-run'
    not_run_value: bytes = b'1'
    not_run_statuses: frozenset[int] = _SHEDDING
    proof: bytes = b''
    keeps_host: bool = False
    ends_with_connection: bool = False
    fractions: bool = False
    not_run_refusals: Mapping[RefusalReason, int] = MappingProxyType({})
    unknown_refusals: Mapping[RefusalReason, int] = MappingProxyType({})

    @property
    def set_here(self) -> frozenset[bytes]:
        """Headers that this proxy sets, whatever the caller sent."""
        names = (
            self.caller_timeout,
            self.target_deadline,
            self.expected_target,
            self.account,
        )
        return frozenset(name for name in names if name)

    def find_status(self, refusal: Refusal) -> int | None:
        """Return the status of a refusal, None for the product's own."""
        if refusal.ran is Ran.no:
            return self.not_run_refusals.get(refusal.reason)
        return self.unknown_refusals.get(refusal.reason)


PRODUCT: Final = Dialect()

__all__ = ('PRODUCT', 'Dialect')
