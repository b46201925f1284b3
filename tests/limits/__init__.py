"""Tests of the folder of this name."""
