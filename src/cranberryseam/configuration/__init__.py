"""Configuration in force, the two lists and the process settings."""
