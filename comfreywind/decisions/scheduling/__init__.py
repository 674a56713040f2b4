"""Decisions about jobs: who holds the pools, order of work, placement."""
