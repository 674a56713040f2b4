"""Callers' side of jobs: keys, acceptance, state, cancelling."""
