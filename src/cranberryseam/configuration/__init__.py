"""The configuration in force, the two lists, and the settings."""
