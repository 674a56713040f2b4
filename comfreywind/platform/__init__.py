"""Adapters to the platform: clients of its services and targets, codecs of its formats."""
