"""Builds the components of an entry process from its settings."""
