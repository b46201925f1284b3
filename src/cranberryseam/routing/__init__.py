"""Choice of a target, failure detection, ejection and queues."""
