"""Tests with real processes and real faults."""
