"""Tests of the control work."""
