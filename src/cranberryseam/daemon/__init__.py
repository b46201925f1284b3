"""The process: event loop, effects, sockets, logs, metrics."""
