"""Experiments that compare policies and versions."""
