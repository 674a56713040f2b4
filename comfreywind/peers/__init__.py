"""Streams between entry processes."""
