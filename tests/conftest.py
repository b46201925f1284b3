"""Handling of known failures and of garbage collection in all tests."""

from __future__ import annotations

import gc
from pathlib import Path

import pytest

_LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures.

    A listed test that passes counts as failed, so that the list stays exact.
    """
    known = {
        line.strip()
        for line in _LIST.read_text(encoding='utf-8').splitlines()
        if line.startswith('tests/')
    }
    for item in items:
        if item.nodeid in known:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


@pytest.fixture(scope='module', autouse=True)
def _freeze_heap() -> None:
    """Exempt the objects of earlier modules from garbage collection.

    A collection of the whole heap takes up to 0.3 s, longer than the limits of
    some tests that measure delays. The daemon exempts its startup objects, too.
    """
    gc.collect()
    gc.freeze()
