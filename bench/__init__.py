"""Bench, demo and build programs."""
