"""Stand-ins of the users' platform for jobs: store, VM list and targets that run tasks."""
