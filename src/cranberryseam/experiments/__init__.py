"""Simulated targets, a demonstration fleet and routing simulations."""
