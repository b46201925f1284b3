"""Tests of the cost of control traffic."""
