"""Property tests."""
