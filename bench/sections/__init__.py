"""Sections of `make bench`: each adds its figures in a bounded time."""
