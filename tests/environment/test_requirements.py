"""Tests of the pinned packages."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name
from parameterized import parameterized
from testtools import TestCase

_ROOT = Path(__file__).parents[2]
_PROJECT = 'cranberryseam'
_FILES = (
    ('checks', 'requirements.lock', f'{_PROJECT}[dev]'),
    ('deployment', 'deploy/requirements.txt', _PROJECT),
)


def _read_pinned(path: Path) -> set[str]:
    lines = path.read_text(encoding='utf-8').splitlines()
    return {canonicalize_name(Requirement(line).name) for line in lines if line}


def _read_build_requirements() -> list[str]:
    text = (_ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    required: list[str] = tomllib.loads(text)['build-system']['requires']
    return required


def _read_needs(requirement: Requirement) -> Iterator[Requirement]:
    """Yield the packages that an installed package needs on this machine."""
    try:
        lines = requires(requirement.name) or []
    except PackageNotFoundError:
        # A package for another machine isn't installed here.
        return
    for needed in map(Requirement, lines):
        environments = [{'extra': extra} for extra in ('', *requirement.extras)]
        if needed.marker is None or any(
            map(needed.marker.evaluate, environments)
        ):
            yield needed


def _find_needed(requirements: list[str]) -> set[str]:
    """Return all packages that requirements need directly or indirectly."""
    pending = [Requirement(line) for line in requirements]
    visited: set[tuple[str, frozenset[str]]] = set()
    while pending:
        requirement = pending.pop()
        name = canonicalize_name(requirement.name)
        key = (name, frozenset(requirement.extras))
        if key not in visited:
            visited.add(key)
            pending += _read_needs(requirement)
    return {name for name, _ in visited}


class PinnedPackagesTest(TestCase):
    """Each pinned package is needed, and each needed package is pinned."""

    @parameterized.expand(_FILES)
    def test_only_needed_packages(
        self, _name: str, path: str, project: str
    ) -> None:
        """Guards against an installation that fails for an unused package.

        An unused solver had no wheel for aarch64, and its source build failed.
        """
        needed = _find_needed([project, *_read_build_requirements()])
        pinned = _read_pinned(_ROOT / path)
        self.assertEqual(pinned - needed, set())

    @parameterized.expand(_FILES)
    def test_all_needed_packages(
        self, _name: str, path: str, project: str
    ) -> None:
        """Guards against a verdict that depends on the day of installation."""
        needed = _find_needed([project, *_read_build_requirements()])
        pinned = _read_pinned(_ROOT / path)
        self.assertEqual(needed - pinned - {_PROJECT}, set())
