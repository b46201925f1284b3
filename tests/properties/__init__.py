"""Property-based tests."""
