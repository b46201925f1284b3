"""Key table and key freshness."""
