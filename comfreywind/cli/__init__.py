"""Command line: one module per command."""
