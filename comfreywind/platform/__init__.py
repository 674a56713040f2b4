"""Adapters to the platform: clients of its services and of the targets, and codecs of its formats."""
