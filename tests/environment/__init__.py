"""Tests of the environment that ``make`` installs."""
