"""The reducer, its events, effects and notices, and the wire codec."""
