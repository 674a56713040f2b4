"""Runs the portion protocol of an entry: its session, its portion rows and its peer messages."""
