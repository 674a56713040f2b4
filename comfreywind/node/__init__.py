"""The node: the Comfreywind process that runs on every VM of the system."""
