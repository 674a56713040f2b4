"""Faults that operators of similar systems reported, one module for each kind of fault."""
