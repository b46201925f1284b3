"""HTTP client of the administration API."""

from __future__ import annotations

from typing import Any, Final

import attrs
import httpx
from expression import Error, Ok, Result

from ..core.errors import Failure

# Exceeds the time the API itself waits for the outcome of a command.
REQUEST_TIMEOUT_S: Final = 12.0
STATUS_MISDIRECTED: Final = 421


@attrs.frozen
class ApiUnreachable(Failure):
    """The administration API at an address gave no answer."""

    address: str
    detail: str


@attrs.frozen
class ApiRefused(Failure):
    """The administration API refused a command.

    Parameters
    ----------
    document
        Problem document of the response.

    """

    address: str
    status: int
    document: dict[str, Any]

    @property
    def name(self) -> str:
        """Class name of the failure, such as ``VersionConflict``."""
        return str(self.document.get('type', '')).rpartition(':')[2]


ApiResult = Result[dict[str, Any], ApiUnreachable | ApiRefused]


class AdminClient:
    """Send commands to VMs of the fleet.

    Parameters
    ----------
    addresses
        Addresses (``ip:port``) of the API on several VMs.
    key
        Operator key sent as a bearer token.

    """

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        """Store the addresses; a connection is opened for each request."""
        self.addresses = addresses
        self._headers = {'Authorization': f'Bearer {key}'}

    def request(
        self, address: str, method: str, path: str, body: object = None
    ) -> ApiResult:
        """Send a command to one VM."""
        try:
            response = httpx.request(
                method,
                f'http://{address}{path}',
                headers=self._headers,
                json=body,
                timeout=REQUEST_TIMEOUT_S,
                trust_env=False,
            )
        except httpx.HTTPError as error:
            return Error(ApiUnreachable(address, str(error)))
        return _read_response(address, response)

    def request_any(
        self, method: str, path: str, body: object = None
    ) -> ApiResult:
        """Send a command to one VM after another until one can execute it.

        The next VM is tried if a VM is unreachable, is not the control leader
        or lacks the required role. A command with a command key is idempotent,
        so it may reach several VMs.
        """
        result: ApiResult = Error(ApiUnreachable('(none)', 'no address given'))
        for address in self.addresses:
            result = self.request(address, method, path, body)
            if result.is_ok() or not _should_try_next(result.error):
                return result
        return result

    def request_all(
        self, method: str, path: str, body: object = None
    ) -> dict[str, ApiResult]:
        """Send a command to every VM."""
        return {
            address: self.request(address, method, path, body)
            for address in self.addresses
        }


def _read_response(address: str, response: httpx.Response) -> ApiResult:
    try:
        document = response.json()
    except ValueError:
        document = {'title': response.text}
    if response.is_success:
        return Ok(document)
    return Error(ApiRefused(address, response.status_code, document))


def _should_try_next(failure: Failure) -> bool:
    if isinstance(failure, ApiRefused):
        return failure.status == STATUS_MISDIRECTED
    return True


__all__ = ('AdminClient', 'ApiRefused', 'ApiResult', 'ApiUnreachable')
