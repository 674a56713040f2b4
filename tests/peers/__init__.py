"""Tests of the peer layer."""
