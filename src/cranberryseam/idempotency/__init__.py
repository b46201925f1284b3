"""Claims of idempotency keys and stored answers."""
