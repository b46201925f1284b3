"""Replica groups and the lease of their leader."""
