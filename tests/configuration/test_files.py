"""Tests of the settings file."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.configuration.files import load_settings, parse_settings

SETTINGS = """
regions = ["dar", "mwz"]

[vm]
name = "dar-1"
region = "dar"
data_centre = "dar-a"
roles = ["entry", "control"]

[addresses]
peers = "127.0.0.1:7000"
callers = "127.0.0.1:8000"

[control]
replicas = ["dar-1", "dar-2"]
data_folder = "/tmp/data"

[[groups]]
name = "dar-g"
region = "dar"
vms = ["dar-1", "dar-2", "dar-3"]

[[peers]]
name = "dar-2"
region = "dar"
data_centre = "dar-b"
address = "127.0.0.1:7001"
"""


class SettingsTest(testtools.TestCase):
    """Guards against a process that starts with invalid settings."""

    def test_good_settings(self) -> None:
        settings = parse_settings('s', SETTINGS).ok
        self.assertEqual(settings.vm_id, 'dar-1')
        self.assertEqual(settings.peers[0].address, '127.0.0.1:7001')

    @parameterized.expand(
        [
            ('unknown', 'regions =', 'region =', 'region'),
            ('nested', 'data_centre = "dar-b"', 'zone = 1', 'peers.0.zone'),
            ('role', '"control"]', '"proxy"]', 'vm.roles'),
            ('region', 'region = "dar"\nd', 'region = "x"\nd', 'vm.region'),
            ('host', '127.0.0.1:8000', 'localhost:80', 'addresses.callers'),
            ('port', '127.0.0.1:7000', '127.0.0.1:0', 'addresses.peers'),
            ('folder', '/tmp/data', '', 'control.data_folder'),
            ('replica', '"dar-2"]\ndata', '"x"]\ndata', 'control.replicas'),
            ('group', '"dar-3"]', '"dar-2"]', 'groups.dar-g.vms'),
            ('twice', 'name = "dar-2"', 'name = "dar-1"', 'peers'),
            ('type', '"127.0.0.1:8000"', '8000', 'addresses.callers'),
        ]
    )
    def test_bad_settings(
        self, _name: str, old: str, new: str, key: str
    ) -> None:
        self.assertIn(old, SETTINGS)
        parsed = parse_settings('s', SETTINGS.replace(old, new))
        keys = [problem.key for problem in parsed.error.problems]
        self.assertIn(key, keys)

    @parameterized.expand(
        [
            ('negative', 'data_centre_per_mb', '-1'),
            ('infinite', 'region_per_mb', 'inf'),
            ('not_a_number', 'region_per_mb', 'nan'),
            ('text', 'region_per_mb', '"dear"'),
        ]
    )
    def test_bad_transfer_costs(self, _: str, key: str, value: str) -> None:
        """Guards against costs that make every target equally bad."""
        text = f'{SETTINGS}\n[transfer]\n{key} = {value}\n'
        parsed = parse_settings('s', text)
        keys = [problem.key for problem in parsed.error.problems]
        self.assertIn(f'transfer.{key}', keys)

    def test_deeply_nested(self) -> None:
        """Guards against an exception in place of an error message."""
        nested = 'regions = {}{}'.format('[' * 50_000, ']' * 50_000)
        parsed = parse_settings('s', nested)
        self.assertEqual(parsed.error.problems[0].key, '(syntax)')

    def test_missing_file(self) -> None:
        parsed = load_settings('/nonexistent/settings.toml')
        self.assertEqual(parsed.error.problems[0].key, '(file)')
