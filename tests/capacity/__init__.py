"""Tests of what control costs."""
