"""Processing of client requests, from arrival to the final answer."""
