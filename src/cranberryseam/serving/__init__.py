"""HTTP interfaces to callers, targets and operators."""
