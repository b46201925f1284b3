"""Division of an account's rate between regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..configuration.model import Account, Configuration


@attrs.frozen
class Limit:
    """Rate per second and burst of one bucket."""

    rate: float
    burst: float


def choose_region(
    configuration: Configuration,
    account: Account,
    own_region: str,
    regions: tuple[str, ...],
) -> str:
    """Return the region whose bucket serves an account's requests here.

    This is the own region if the account has a share there, else its home.
    """
    if dict(account.shares).get(own_region, 0) > 0:
        return own_region
    return str(configuration.home_region(account, regions))


def find_limit(
    configuration: Configuration,
    account_name: str,
    region: str,
    regions: tuple[str, ...],
) -> Limit | None:
    """Return the limit of an account's bucket in a region.

    Returns
    -------
    None if the account or its plan is unknown; a rate of 0 if the account
    has no share in the region.

    """
    account = configuration.accounts.get(account_name)
    if account is None:
        return None
    plan = configuration.plans.get(account.plan)
    if plan is None:
        return None
    if account.shares:
        share = dict(account.shares).get(region, 0)
    else:
        share = float(configuration.home_region(account, regions) == region)
    return Limit(plan.rate * share, plan.burst * share)


def list_changed_accounts(
    previous: Configuration, current: Configuration
) -> list[str]:
    """Return the accounts whose row or plan differs.

    Rows that didn't change are the same objects in both, so this costs two
    look-ups per account.
    """
    plans = {
        name
        for name in (*previous.plans, *current.plans)
        if previous.plans.get(name) is not current.plans.get(name)
    }
    changed = [
        name for name in previous.accounts if name not in current.accounts
    ]
    changed.extend(
        name
        for name, account in current.accounts.items()
        if account.plan in plans or previous.accounts.get(name) is not account
    )
    return changed


__all__ = ('Limit', 'choose_region', 'find_limit', 'list_changed_accounts')
