"""The HTTP interface for callers: authentication, and submission, state and cancellation of jobs."""
