"""What the demonstration prints and checks at its end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..cli.output import print_table
from .callers import Sent, count_reasons
from .demo_lists import BIG_BURST, BIG_RATE

# Stated goal: seconds until a withdrawn key is refused at every VM.
WITHDRAWAL_GOAL_S: Final = 5.0


@attrs.frozen
class Outcome:
    """What callers were told and what targets did.

    Parameters
    ----------
    executions
        How often each piece of work was executed, over all targets.
    withdrawn_at
        When the key of zuri was withdrawn, on the callers' clock.
    traffic_s
        Duration of the traffic in seconds.

    """

    accounts: tuple[str, ...]
    entry_vms: tuple[str, ...]
    journal: tuple[Sent, ...]
    executions: Counter[str]
    caller_keys_seen: int
    withdrawn_at: float
    traffic_s: float


def report(outcome: Outcome) -> list[str]:
    """Print what happened and return the promises that were broken."""
    rows = [describe_account(outcome, name) for name in outcome.accounts]
    print_table(rows, 'account sent answered refused broken')
    reasons = count_reasons(outcome.journal)
    refused = [
        {'refusal': reason, 'count': count}
        for reason, count in sorted(reasons.items())
    ]
    print_table(refused, 'refusal count')
    checks = list(check_promises(outcome))
    print_table(checks, 'check value bound result')
    return [row['check'] for row in checks if row['result'] != 'ok']


def describe_account(outcome: Outcome, account: str) -> dict[str, object]:
    """Return how the requests of an account ended."""
    sent = [each for each in outcome.journal if each.account == account]
    broken = sum(each.status == 0 for each in sent)
    answered = sum(not each.reason for each in sent)
    return {
        'account': account,
        'sent': len(sent),
        'answered': answered,
        'refused': len(sent) - answered - broken,
        'broken': broken,
    }


def check_promises(outcome: Outcome) -> list[dict[str, Any]]:
    """Return one row per promise that the demonstration can check."""
    orders = {
        sent.work_id for sent in outcome.journal if '-order-' in sent.work_id
    }
    ran_twice = sum(outcome.executions[order] > 1 for order in orders)
    answered = find_orders(outcome, lambda sent: not sent.reason)
    untrue = find_orders(outcome, lambda sent: sent.ran == 'no') - answered
    untrue_refusals = sum(outcome.executions[order] > 0 for order in untrue)
    lost = sum(not outcome.executions[order] for order in answered)
    unanswered = sum(sent.status == 0 for sent in outcome.journal)
    admitted = describe_account(outcome, 'bahari')['answered']
    most = BIG_RATE * (outcome.traffic_s + 1) + BIG_BURST
    return [
        judge('orders that ran twice', ran_twice, 0),
        judge('orders answered but not run', lost, 0),
        judge('orders run but refused as not run', untrue_refusals, 0),
        judge('orders answered', len(answered), len(orders) // 2, least=True),
        judge('caller keys seen by targets', outcome.caller_keys_seen, 0),
        judge('connections broken', unanswered, 0),
        judge('requests of bahari admitted', admitted, most),
        *judge_withdrawal(outcome),
    ]


def find_orders(outcome: Outcome, check: Callable[[Sent], bool]) -> set[str]:
    """Return the orders of which a copy was told what the check looks for."""
    return {
        sent.work_id
        for sent in outcome.journal
        if '-order-' in sent.work_id and check(sent)
    }


def judge_withdrawal(outcome: Outcome) -> list[dict[str, Any]]:
    """Return a row per entry VM: seconds until the key was refused."""
    rows = []
    for vm in outcome.entry_vms:
        accepted = [
            sent.sent_at - outcome.withdrawn_at
            for sent in outcome.journal
            if sent.account == 'zuri' and sent.vm == vm and not sent.reason
        ]
        seconds = round(max((0, *accepted)), 3)
        name = f'seconds until {vm} refused the withdrawn key'
        rows.append(judge(name, seconds, WITHDRAWAL_GOAL_S))
    return rows


def judge(
    check: str, figure: Any, bound: float, *, least: bool = False
) -> dict[str, Any]:
    """Return a row that compares a figure with its bound."""
    kept = figure >= bound if least else figure <= bound
    sign = '>=' if least else '<='
    return {
        'check': check,
        'value': figure,
        'bound': f'{sign} {bound}',
        'result': 'ok' if kept else 'BROKEN',
    }


__all__ = ('Outcome', 'report')
