"""Stand-in targets, load tool and policy driver."""
