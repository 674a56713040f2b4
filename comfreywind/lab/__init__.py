"""A model of the systems served: production's decisions over emulated pools and demand."""
