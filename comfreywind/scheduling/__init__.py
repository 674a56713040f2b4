"""Scheduling by the holder: job order, placement, starts and stops, leases and takeover."""
