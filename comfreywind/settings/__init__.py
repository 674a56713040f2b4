"""Settings files: YAML loaded into validated models."""
