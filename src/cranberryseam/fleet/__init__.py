"""Membership gossip and distribution of configuration."""
