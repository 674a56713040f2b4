"""Tests of pool control."""
