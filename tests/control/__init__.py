"""Tests of the replicated configuration log."""
