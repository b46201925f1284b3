"""HTTP header names and statuses agreed with callers and targets."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import attrs

from ..core.refusals import Executed, Refusal, RefusalReason

_SHEDDING: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


@attrs.frozen
class Dialect:
    """Header names and statuses used with callers and targets.

    An empty header name disables the header.

    Parameters
    ----------
    ready_path
        Path of the readiness check of the load balancer.
    timeout_header
        Milliseconds that the caller is willing to wait.
    request_id_header
        Request identifier chosen by the caller; targets echo it.
    attempt_id_header
        Identifier of the attempt, which targets may echo. It tells a late copy
        of an earlier answer on the same connection from the expected answer.
    idempotency_key_header
        Key under which copies of a request run once.
    authorization_scheme
        Scheme of ``Authorization``, in lower case.
    deadline_header
        Milliseconds that the target has left for the request.
    expected_target_header
        Identifier of the target that the request is meant for.
    account_header
        Client account that sent the request.
    not_run_header, not_run_value
        Header by which a target states that it did not run the request, and
        its value; an empty value matches any value.
    not_run_statuses
        Statuses with which ``not_run_header`` is trusted; empty means all.
    promise_statuses
        Statuses by which callers learn that a request has not run and never
        will.
    authenticity_header
        Header that every successful response of a target has; a success
        without it was not sent by the target.
    rate_limit_header
        Requests per second that a target takes from all VMs together.
    leaving_header
        1 if the target is about to leave.
    preserve_host
        Whether targets get the caller's ``Host``.
    accept_close_delimited
        Whether the end of the connection may mark the end of a response.
    fractional_retry_after
        Whether ``Retry-After`` may have fractions of a second.
    not_run_refusal_statuses, other_refusal_statuses
        Statuses by reason that override the default ones, for refusals of
        requests that did not run and for all others.

    """

    ready_path: bytes = b'/-/ready'
    timeout_header: bytes = b'request-timeout-ms'
    request_id_header: bytes = b''
    attempt_id_header: bytes = b'cranberryseam-attempt-id'
    idempotency_key_header: bytes = b'idempotency-key'
    authorization_scheme: bytes = b'bearer'
    deadline_header: bytes = b'cranberryseam-deadline-ms'
    expected_target_header: bytes = b''
    account_header: bytes = b''
    not_run_header: bytes = b'cranberryseam-not-run'
    not_run_value: bytes = b'1'
    not_run_statuses: frozenset[int] = _SHEDDING
    promise_statuses: frozenset[int] = frozenset()
    authenticity_header: bytes = b''
    rate_limit_header: bytes = b'cranberryseam-rate-limit'
    leaving_header: bytes = b'cranberryseam-leaving'
    preserve_host: bool = False
    accept_close_delimited: bool = False
    fractional_retry_after: bool = False
    not_run_refusal_statuses: Mapping[RefusalReason, int] = MappingProxyType({})
    other_refusal_statuses: Mapping[RefusalReason, int] = MappingProxyType({})

    @property
    def proxy_set_headers(self) -> frozenset[bytes]:
        """Headers that the proxy sets itself and never copies from callers."""
        names = (
            self.timeout_header,
            self.attempt_id_header,
            self.deadline_header,
            self.expected_target_header,
            self.account_header,
        )
        return frozenset(name for name in names if name)

    def find_status(self, refusal: Refusal) -> int | None:
        """Return the status that overrides the default one, None without."""
        if refusal.ran is Executed.no:
            return self.not_run_refusal_statuses.get(refusal.reason)
        return self.other_refusal_statuses.get(refusal.reason)


DEFAULT_DIALECT: Final = Dialect()

__all__ = ('DEFAULT_DIALECT', 'Dialect')
