"""Experiments that compare policies."""
