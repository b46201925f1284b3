"""The daemon process: event loop, effect execution, sockets, logs, metrics."""
