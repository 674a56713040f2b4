"""Reports: service-level burn and decision history."""
