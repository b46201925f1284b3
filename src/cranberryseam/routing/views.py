"""Ejections in force on an entry VM."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..types import TargetId
from .floor import measure_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.events import Announcement
    from .messages import EjectedRow, ServiceView

_MAX_SENT_TIMES = 8


@attrs.define(eq=False)
class RegionView:
    """Newest view received from the leader of a service in one region.

    The lease of a view starts when this VM sent the report that the view
    answers. Therefore a late, repeated or reordered view can't extend an
    ejection, independently of the clocks of other VMs.
    """

    lease_s: float
    reported_at: float = 0
    valid_until: float = 0
    ejected: dict[TargetId, EjectedRow] = attrs.field(factory=dict)
    _sent_times: deque[float] = attrs.field(factory=deque)
    _newest: tuple[float, int] = (0, 0)

    def record_report(self, at: float) -> None:
        """Record the sending time of a report."""
        self.reported_at = at
        self._sent_times.append(at)
        if len(self._sent_times) > _MAX_SENT_TIMES:
            self._sent_times.popleft()

    def accept(self, at: float, view: ServiceView) -> bool:
        """Apply a view; return False if it is outdated or answers no report."""
        version = (view.report_sent_at, view.sequence)
        expired = at >= view.report_sent_at + self.lease_s
        if expired or version <= self._newest:
            return False
        if view.report_sent_at not in self._sent_times:
            return False
        self._newest = version
        self.valid_until = view.report_sent_at + self.lease_s
        self.ejected = {TargetId(row.target): row for row in view.ejected}
        return True

    def ejected_at(self, at: float) -> dict[TargetId, EjectedRow]:
        """Return the ejections in force; none once the lease has expired."""
        if at >= self.valid_until:
            return {}
        return self.ejected


def limit_to_floor(
    ejected: dict[TargetId, EjectedRow],
    announcements: Iterable[tuple[Announcement, bool]],
    floor: float,
) -> dict[TargetId, EjectedRow]:
    """Return the ejections that meet the floor as known to this VM.

    The leader respects the floor, but targets may have left since. Ejections
    with the lowest scores are ignored first.
    """
    known = tuple(announcements)
    kept = dict(ejected)
    while kept and measure_capacity(known, kept).is_below(floor):
        weakest = min(kept.values(), key=_order_by_score).target
        kept.pop(TargetId(weakest))
    return kept


def _order_by_score(row: EjectedRow) -> tuple[float, str]:
    return row.score, row.target


__all__ = ('RegionView', 'limit_to_floor')
