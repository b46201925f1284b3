"""Tests of replica groups and leader election."""
