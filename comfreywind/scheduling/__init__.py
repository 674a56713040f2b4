"""The holder of the pools: order of work, starts, stops, leases and hand-over."""
