"""Tests of rate limits."""
