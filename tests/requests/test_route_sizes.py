"""Tests of the sizes of bodies by route."""

from __future__ import annotations

from testtools import TestCase

from cranberryseam.requests.route_sizes import RouteSizes


class RouteSizesTest(TestCase):
    """A VM learns what a request of a route transfers."""

    def test_mean(self) -> None:
        sizes = RouteSizes()
        unknown = sizes.expect('orders')
        for number in range(60):
            sizes.record('orders', 8000 + number % 2 * 2000)
        sizes.record('reads', 100)
        self.assertAlmostEqual(9000, sizes.expect('orders'), delta=300)
        self.assertEqual(100, sizes.expect('reads'))
        self.assertEqual(unknown, sizes.expect('payments'))

    def test_many_routes(self) -> None:
        """Guards against memory that grows with replaced routes."""
        sizes = RouteSizes()
        for number in range(12_000):
            sizes.record(f'route-{number}', 100)
        self.assertEqual(
            RouteSizes().expect('route-0'), sizes.expect('route-0')
        )
        self.assertEqual(100, sizes.expect('route-11999'))
