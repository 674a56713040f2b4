"""Builds the parts of an entry process from its settings."""
