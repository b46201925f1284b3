"""The state machine of one request."""
