"""JSON-compatible bodies of answers to operator commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..configuration.entries import current_lists
from .members import STATUSES

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration.model import Configuration
    from .members import Member, MemberTable
    from .reports import ReportTable
    from .withdrawals import WithdrawalSet

_KEY_HASHES = 'target_key_hashes'


@attrs.frozen
class FleetView:
    """Tables and version from which the answers are built."""

    members: MemberTable
    reports: ReportTable
    withdrawals: WithdrawalSet
    now: float
    version: int

    def describe_fleet(self) -> dict[str, object]:
        """Return all members including this VM."""
        own = self.members.local_record
        rows: list[dict[str, object]] = [
            {
                'name': own.name,
                'region': own.region,
                'data_centre': own.data_centre,
                'roles': list(own.roles),
                'status': STATUSES[own.status].value,
                'incarnation': own.incarnation,
                'version': self.version,
                'withdrawals_confirmed': True,
                'heard_s_ago': 0,
            }
        ]
        rows.extend(
            self._describe_member(member)
            for member in self.members.members.values()
        )
        return {'members': sorted(rows, key=_get_name)}

    def split_by_confirmation(self) -> tuple[list[str], list[str]]:
        """Return the VMs that confirmed all withdrawals, and the others."""
        confirmed = [self.members.local_record.name]
        unconfirmed: list[str] = []
        for member in self.members.members.values():
            is_confirmed = self._is_confirmed(member)
            names = confirmed if is_confirmed else unconfirmed
            names.append(member.record.name)
        return sorted(confirmed), sorted(unconfirmed)

    def _describe_member(self, member: Member) -> dict[str, object]:
        record = member.record
        report = self.reports.find(member.vm)
        heard_s_ago = round(self.now - report.heard_at, 3) if report else None
        return {
            'name': record.name,
            'region': record.region,
            'data_centre': record.data_centre,
            'roles': list(record.roles),
            'status': STATUSES[record.status].value,
            'incarnation': record.incarnation,
            'version': report.version if report else 0,
            'withdrawals_confirmed': self._is_confirmed(member),
            'heard_s_ago': heard_s_ago,
        }

    def _is_confirmed(self, member: Member) -> bool:
        report = self.reports.find(member.vm)
        return (
            report is not None and report.withdrawn == self.withdrawals.digest
        )


def describe_lists(
    configuration: Configuration, is_withdrawn: Callable[[object], bool]
) -> dict[str, object]:
    """Return the rows of both lists and the keys, without hashes."""
    lists = current_lists(configuration)
    return {
        'accounts': [_as_json(row) for row in lists.accounts],
        'plans': [_as_json(row) for row in lists.plans],
        'routes': [_as_json(row) for row in lists.routes],
        'services': [_describe_service(row) for row in lists.services],
        'keys': [
            {
                'id': key.key_id,
                'account': key.account,
                'withdrawn': is_withdrawn(key.key_id),
            }
            for key in configuration.keys.values()
        ],
    }


def _describe_service(row: attrs.AttrsInstance) -> dict[str, object]:
    described = _as_json(row)
    described.pop(_KEY_HASHES)
    return described


def _as_json(row: attrs.AttrsInstance) -> dict[str, object]:
    described: dict[str, object] = msgspec.to_builtins(row)
    return described


def _get_name(row: dict[str, object]) -> str:
    return str(row['name'])


__all__ = ('FleetView', 'describe_lists')
