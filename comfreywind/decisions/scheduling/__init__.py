"""Scheduling decisions: lease term, order of work, placement, pool sizes and maintenance."""
