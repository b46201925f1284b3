"""Rates and bursts across all VMs."""
