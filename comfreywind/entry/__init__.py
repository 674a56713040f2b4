"""The entry role: admission, queues, routing and forwarding for callers."""
