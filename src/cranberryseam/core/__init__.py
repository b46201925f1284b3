"""Reducer of a VM, its events, effects and notices, and the wire codec."""
