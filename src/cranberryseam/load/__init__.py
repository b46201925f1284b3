"""Open-loop load generator with paired latency measurements."""

from __future__ import annotations

from .plan import Plan, Stream, read_plan
from .report import Report, read_report

__all__ = ('Plan', 'Report', 'Stream', 'read_plan', 'read_report')
