"""Client of the administration API."""

from __future__ import annotations

from typing import Any, Final

import attrs
import httpx
from expression import Error, Ok, Result

from ..core.errors import Failure

# Longer than the API itself waits for the outcome of a command.
TIMEOUT_S: Final = 12.0
MISDIRECTED: Final = 421


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
        The problem document.

    """

    address: str
    status: int
    document: dict[str, Any]

    @property
    def name(self) -> str:
        """Name of the failure, such as ``VersionConflict``."""
        return str(self.document.get('type', '')).rpartition(':')[2]


ApiResult = Result[dict[str, Any], ApiUnreachable | ApiRefused]


class AdminClient:
    """Sends commands to VMs of the fleet.

    Parameters
    ----------
    addresses
        Addresses (``ip:port``) of the API at several VMs.
    key
        The operator's key.

    """

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        """Open no connection yet."""
        self.addresses = addresses
        self._headers = {'Authorization': f'Bearer {key}'}

    def request(
        self, address: str, method: str, path: str, body: object = None
    ) -> ApiResult:
        """Send one command to one VM."""
        try:
            response = httpx.request(
                method,
                f'http://{address}{path}',
                headers=self._headers,
                json=body,
                timeout=TIMEOUT_S,
                trust_env=False,
            )
        except httpx.HTTPError as error:
            return Error(ApiUnreachable(address, str(error)))
        return _read_response(address, response)

    def request_any(
        self, method: str, path: str, body: object = None
    ) -> ApiResult:
        """Send a command to the VMs in turn until one can execute it.

        A VM that is unreachable, is not the control leader or lacks the role
        makes way for the next. A command with a command key may safely reach
        several VMs.
        """
        latest: ApiResult = Error(ApiUnreachable('(none)', 'no address given'))
        for address in self.addresses:
            latest = self.request(address, method, path, body)
            if latest.is_ok() or not _another_may_help(latest.error):
                return latest
        return latest

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


def _another_may_help(failure: Failure) -> bool:
    if isinstance(failure, ApiRefused):
        return failure.status == MISDIRECTED
    return True


__all__ = ('AdminClient', 'ApiRefused', 'ApiResult', 'ApiUnreachable')
