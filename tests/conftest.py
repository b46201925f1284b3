"""Handling of the known failures listed in KNOWN-RED.txt."""

from __future__ import annotations

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
