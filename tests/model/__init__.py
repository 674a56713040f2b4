"""Model checks: exhaustive searches and random walks over the states of the core protocols."""
