"""Report of the demonstration and checks of its guarantees."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..cli.output import print_table
from .callers import SentRequest, count_reasons
from .demo_lists import WHOLESALE_BURST, WHOLESALE_RATE

# Required time until every VM refuses a withdrawn key.
WITHDRAWAL_GOAL_S: Final = 5.0


@attrs.frozen
class DemoResults:
    """Results of the requests and executions at the targets.

    Parameters
    ----------
    executions
        Number of executions by work ID, over all targets.
    withdrawn_at
        Time on the callers' clock at which the key of zuri was withdrawn.
    traffic_s
        Duration of the traffic in seconds.

    """

    accounts: tuple[str, ...]
    entry_vms: tuple[str, ...]
    sent_requests: tuple[SentRequest, ...]
    executions: Counter[str]
    caller_keys_seen: int
    withdrawn_at: float
    traffic_s: float


def print_report(results: DemoResults) -> list[str]:
    """Print the results and return the names of the failed checks."""
    rows = [describe_account(results, name) for name in results.accounts]
    print_table(rows, 'account sent answered refused broken')
    reasons = count_reasons(results.sent_requests)
    refused = [
        {'refusal': reason, 'count': count}
        for reason, count in sorted(reasons.items())
    ]
    print_table(refused, 'refusal count')
    checks = list(check_guarantees(results))
    print_table(checks, 'check value bound result')
    return [row['check'] for row in checks if row['result'] != 'ok']


def describe_account(results: DemoResults, account: str) -> dict[str, object]:
    """Return the number of requests of an account by result."""
    sent = [each for each in results.sent_requests if each.account == account]
    broken = sum(each.status == 0 for each in sent)
    answered = sum(not each.reason for each in sent)
    return {
        'account': account,
        'sent': len(sent),
        'answered': answered,
        'refused': len(sent) - answered - broken,
        'broken': broken,
    }


def check_guarantees(results: DemoResults) -> list[dict[str, Any]]:
    """Return one row per guarantee that the demonstration checks."""
    orders = {
        sent.work_id
        for sent in results.sent_requests
        if '-order-' in sent.work_id
    }
    ran_twice = sum(results.executions[order] > 1 for order in orders)
    answered = find_orders(results, lambda sent: not sent.reason)
    refused_as_not_run = (
        find_orders(results, lambda sent: sent.ran == 'no') - answered
    )
    wrong_refusals = sum(
        results.executions[order] > 0 for order in refused_as_not_run
    )
    lost = sum(not results.executions[order] for order in answered)
    unanswered = sum(sent.status == 0 for sent in results.sent_requests)
    admitted = describe_account(results, 'bahari')['answered']
    max_admitted = WHOLESALE_RATE * (results.traffic_s + 1) + WHOLESALE_BURST
    return [
        compare_with_bound('orders executed more than once', ran_twice, 0),
        compare_with_bound('orders answered but not executed', lost, 0),
        compare_with_bound(
            'orders executed but refused as not executed', wrong_refusals, 0
        ),
        compare_with_bound(
            'orders answered', len(answered), len(orders) // 2, is_minimum=True
        ),
        compare_with_bound(
            'caller keys seen by targets', results.caller_keys_seen, 0
        ),
        compare_with_bound('failed connections', unanswered, 0),
        compare_with_bound(
            'requests of bahari admitted', admitted, max_admitted
        ),
        *check_withdrawal(results),
    ]


def find_orders(
    results: DemoResults, check: Callable[[SentRequest], bool]
) -> set[str]:
    """Return the orders of which at least one duplicate passes the check."""
    return {
        sent.work_id
        for sent in results.sent_requests
        if '-order-' in sent.work_id and check(sent)
    }


def check_withdrawal(results: DemoResults) -> list[dict[str, Any]]:
    """Return a row per entry VM with the time until it refused the key."""
    rows = []
    for vm in results.entry_vms:
        accepted = [
            sent.sent_at - results.withdrawn_at
            for sent in results.sent_requests
            if sent.account == 'zuri' and sent.vm == vm and not sent.reason
        ]
        seconds = round(max((0, *accepted)), 3)
        name = f'seconds until {vm} refused the withdrawn key'
        rows.append(compare_with_bound(name, seconds, WITHDRAWAL_GOAL_S))
    return rows


def compare_with_bound(
    check: str, measured: Any, bound: float, *, is_minimum: bool = False
) -> dict[str, Any]:
    """Return a row that compares a measured value with its bound."""
    is_within_bound = measured >= bound if is_minimum else measured <= bound
    operator = '>=' if is_minimum else '<='
    return {
        'check': check,
        'value': measured,
        'bound': f'{operator} {bound}',
        'result': 'ok' if is_within_bound else 'BROKEN',
    }


__all__ = ('DemoResults', 'print_report')
