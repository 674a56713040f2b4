"""Decisions about pools: budgets, maintenance waves, spare VMs, moves and planned stops."""
