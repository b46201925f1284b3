"""Sizes of the bodies that the routes of this VM carry."""

from __future__ import annotations

from typing import Final

import attrs

# Weight of a new observation in the mean of a route.
_SMOOTHING: Final = 0.1
# Assumed for a route without an observed response.
_DEFAULT_BYTES: Final = 2000.0
# Routes that are remembered; the oldest are forgotten first.
_MAX_ROUTES: Final = 10_000


@attrs.define(eq=False)
class RouteSizes:
    """Mean size of the bodies of requests and responses, by route."""

    _means: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, body_bytes: int) -> None:
        """Add the bodies of a request and its response."""
        before = self._means.get(route, float(body_bytes))
        if route not in self._means and len(self._means) >= _MAX_ROUTES:
            self._means.pop(next(iter(self._means)))
        self._means[route] = before + _SMOOTHING * (body_bytes - before)

    def expect(self, route: str) -> float:
        """Return the expected bytes of a request and its response."""
        return self._means.get(route, _DEFAULT_BYTES)


__all__ = ('RouteSizes',)
