"""Tests of the reports that VMs forward."""

from __future__ import annotations

import random

import testtools

from cranberryseam.fleet.messages import ReportRow, Reports, SenderState
from cranberryseam.fleet.reports import ReportTable


def _state(heartbeat: int, version: int) -> SenderState:
    return SenderState(1, heartbeat, version, True, 7, 0, 0)


class ReportTest(testtools.TestCase):
    """Guards against outdated reports and messages that grow with the fleet."""

    def test_bounded(self) -> None:
        table = ReportTable(random.Random(1))
        for number in range(850):
            table.record_state(f'vm{number}', _state(1, number % 3), 1.0)
        reports = table.select()
        self.assertEqual((len(reports.rows), len(reports.states)), (8, 3))

    def test_late_report(self) -> None:
        table = ReportTable(random.Random(1))
        table.record_state('b', _state(5, 9), 1.0)
        late = Reports(((8, 7),), (ReportRow('b', 4, 0), ReportRow('a', 6, 0)))
        own_heartbeat = table.merge_reports(late, 'a', 2.0)
        self.assertEqual((table.find('b').version, own_heartbeat), (9, 6))
