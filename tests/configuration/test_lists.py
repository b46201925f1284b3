"""Tests of the operators' lists."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.configuration.lists import parse_lists

CUSTOMERS = """
[accounts.asha]
plan = "small"
home = "dar"
shares = { dar = "50%", mwz = "50%" }
"""
USAGE = """
[services.malipo]
floor = "50%"
most_targets = 12

[routes.pay]
service = "malipo"
prefix = "/pay"
methods = ["GET", "POST"]
deadline = "8s"
lane = "long"

[[routes.pay.windows]]
start = "07:00"
end = "09:30"
deadline = "1500ms"

[plans.small]
rate = "120/min"
burst = 5
weight = 2
routes = ["pay"]
"""
REGIONS = ('aru', 'dar', 'mwz')


class ListsTest(testtools.TestCase):
    """Guards against lists that are misread or applied partially."""

    def test_units_are_converted(self) -> None:
        lists = parse_lists(CUSTOMERS, USAGE, REGIONS).ok
        self.assertEqual(lists.plans[0].rate, 2)
        self.assertEqual(lists.accounts[0].shares[0], ('dar', 0.5))
        route = lists.routes[0]
        self.assertEqual(route.deadline_at_minute(7 * 60), 1.5)
        self.assertEqual(route.deadline_at_minute(12 * 60), 8)
        self.assertEqual(route.retriable, ('GET',))

    @parameterized.expand(
        [
            ('unknown_key', 'burst =', 'bursts =', 'plans.small.bursts'),
            ('rate_without_unit', '"120/min"', '"120"', 'plans.small.rate'),
            ('rate_as_number', '"120/min"', '120', 'plans.small.rate'),
            ('deadline_unit', '"8s"', '"8 days"', 'routes.pay.deadline'),
            ('zero_deadline', '"8s"', '"0s"', 'routes.pay.deadline'),
            ('bad_clock', '"07:00"', '"25:00"', 'routes.pay.windows.0.start'),
            ('floor', '"50%"', '"150%"', 'services.malipo.floor'),
            ('no_service', '"malipo"', '"other"', 'routes.pay.service'),
            ('lane', '"long"', '"fast"', 'routes.pay.lane'),
            ('no_route', '["pay"]', '["buy"]', 'plans.small.routes'),
            ('burst', 'burst = 5', 'burst = 0', 'plans.small.burst'),
            ('method', '"POST"', '"CONNECT"', 'routes.pay.methods'),
            ('reserved', '"/pay"', '"/-/x"', 'routes.pay.prefix'),
            ('twice', '[plans.small]', '[routes.pay]', '(syntax)'),
            ('missing', 'burst = 5', '', 'plans.small.burst'),
            ('whole', 'burst = 5', 'burst = 5.5', 'plans.small.burst'),
        ]
    )
    def test_bad_usage(self, _name: str, old: str, new: str, key: str) -> None:
        parsed = parse_lists(CUSTOMERS, USAGE.replace(old, new), REGIONS)
        problem = parsed.error.problems[0]
        self.assertEqual((problem.source, problem.key), ('usage.toml', key))
        self.assertTrue(problem.came)
        self.assertTrue(problem.expected)

    @parameterized.expand(
        [
            ('plan', '"small"', '"large"', 'accounts.asha.plan'),
            ('region', 'home = "dar"', 'home = "x"', 'accounts.asha'),
            ('sum', 'mwz = "50%"', 'mwz = "60%"', 'accounts.asha.shares'),
            ('share', 'mwz = "50%"', 'mwz = 0.5', 'accounts.asha.shares.mwz'),
            ('name', 'accounts.asha', 'accounts."a b"', 'accounts.a b'),
            ('type', 'home = "dar"', 'home = 3', 'accounts.asha.home'),
        ]
    )
    def test_bad_customers(
        self, _name: str, old: str, new: str, key: str
    ) -> None:
        parsed = parse_lists(CUSTOMERS.replace(old, new), USAGE, REGIONS)
        problem = parsed.error.problems[0]
        self.assertEqual((problem.source, problem.key), ('customers.toml', key))

    def test_overlapping_routes(self) -> None:
        """Guards against routing that depends on the order of rows."""
        second = USAGE + (
            '[routes.other]\nservice = "malipo"\nprefix = "/pay/"\n'
            'methods = ["POST"]\n'
        )
        parsed = parse_lists(CUSTOMERS, second, REGIONS)
        self.assertEqual(parsed.error.problems[0].key, 'routes.other')

    def test_all_problems_are_reported(self) -> None:
        bad = USAGE.replace('"8s"', '"8"').replace('burst = 5', 'burst = 0')
        parsed = parse_lists(CUSTOMERS, bad, REGIONS)
        self.assertEqual(len(parsed.error.problems), 2)
