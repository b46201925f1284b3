"""Tests of decoding the platform's settings file."""

from __future__ import annotations

import tempfile
from pathlib import Path

import tomli_w
from adapter import load_node_file
from parameterized import parameterized
from testtools import TestCase

_BOUNDS = {'revoke': '5000ms', 'grace': '6s'}
_CONTROL = {
    'node': 'core-dar-a-1',
    'ip': '10.1.0.33',
    'zone': 'dar-a',
    'internalPortRange': [7340, 7355],
    'seeds': ['10.2.0.25:8783', '10.1.0.33:8783'],
    'bootstrap': True,
    'dataDir': '/data/control',
    'zones': {'dar-a': 'dar', 'aru-a': 'aru'},
    'listen': {'control': '10.1.0.33:8783'},
    'faultTolerance': {'machines': 2},
    'bounds': _BOUNDS,
    'later': 'a field that this version does not know',
}
_ENTRY = {
    **_CONTROL,
    'listen': {'front': '10.1.0.33:8782', 'ready': '10.1.0.33:8789'},
    'bootstrap': False,
}


def _load(content: dict[str, object]):  # noqa: ANN202
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text(tomli_w.dumps(content))
        return load_node_file(str(path))


class NodeFileTest(TestCase):
    """Settings of control and entry VMs."""

    def test_control(self) -> None:
        """Guards against a control VM that other VMs can't reach."""
        settings = _load(_CONTROL).ok
        self.assertEqual(settings.vm_id, '10.1.0.33:7340')
        self.assertEqual(settings.vm.roles, ('control',))
        self.assertEqual(
            settings.control.seeds, ('10.1.0.33:7340', '10.2.0.25:7340')
        )
        self.assertTrue(settings.control.forms)
        self.assertEqual(settings.control.most_lost, 2)
        self.assertEqual(settings.addresses.outside, '10.1.0.33:8783')
        self.assertEqual(dict(settings.places)['aru-a'], 'aru')

    def test_entry(self) -> None:
        """Guards against an entry VM that accepts withdrawn keys too long."""
        settings = _load(_ENTRY).ok
        self.assertEqual(settings.vm.roles, ('entry',))
        self.assertEqual(settings.addresses.callers, '10.1.0.33:8782')
        self.assertEqual(settings.addresses.ready, '10.1.0.33:8789')
        self.assertLess(settings.keys.freshness_s, 5)
        self.assertLess(settings.requests.drain_limit_s, 6)
        self.assertFalse(settings.control.forms)

    @parameterized.expand(
        [
            ('no address', {**_ENTRY, 'ip': 7}),
            ('no ports', {**_ENTRY, 'internalPortRange': []}),
            ('unreadable time', {**_ENTRY, 'bounds': {'grace': 'long'}}),
        ]
    )
    def test_refused(self, _: str, content: dict[str, object]) -> None:
        """Guards against a process that starts with invalid settings."""
        self.assertTrue(_load(content).is_error())

    def test_missing_file(self) -> None:
        """Guards against a crash instead of an error message."""
        self.assertTrue(load_node_file('/nowhere/settings.toml').is_error())
