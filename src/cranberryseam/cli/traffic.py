"""Summary of the bytes that a fleet sends, by purpose and distance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

_SENT: Final = 'peers.bytes_sent.'
_BODIES: Final = 'bodies.bytes.'
_CALLERS: Final = 'bodies of callers'
_OTHER: Final = 'other'
_PURPOSES: Final = MappingProxyType(
    {
        'Poll': 'polls and replies',
        'PollReply': 'polls and replies',
        'LeaderHint': 'polls and replies',
        'PassedAnnouncement': 'announcements',
        'AnnouncementTaken': 'announcements',
        'OutcomeReport': 'outcome reports',
        'ServiceView': 'outcome reports',
        'HealthSeen': 'failure estimates',
        'HealthTold': 'failure estimates',
        'TokensAsked': 'tokens',
        'TokensGiven': 'tokens',
        'TokensReported': 'tokens',
        'BudgetAsked': 'retry budgets',
        'BudgetGiven': 'retry budgets',
        'AppendRequest': 'control log',
        'AppendReply': 'control log',
    }
)


def summarise_traffic(counters: Mapping[str, int]) -> list[dict[str, object]]:
    """Return one row per purpose and distance, the most bytes first.

    Parameters
    ----------
    counters
        Counters of one VM, or sums over several ones.

    """
    totals: Counter[tuple[str, str]] = Counter()
    for name, count in counters.items():
        found = _classify(name)
        if found is not None:
            totals[found] += count
    return [
        {'purpose': key[0], 'distance': key[1], 'bytes': total}
        for key, total in totals.most_common()
    ]


def _classify(name: str) -> tuple[str, str] | None:
    """Return the purpose and distance of a counter; None for other ones."""
    if name.startswith(_BODIES):
        return _CALLERS, name.removeprefix(_BODIES)
    if not name.startswith(_SENT):
        return None
    kind, _, distance = name.removeprefix(_SENT).partition('.')
    return (_PURPOSES.get(kind, _OTHER), distance) if distance else None


__all__ = ('summarise_traffic',)
