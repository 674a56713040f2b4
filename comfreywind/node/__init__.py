"""The process that runs on every VM of the system."""
