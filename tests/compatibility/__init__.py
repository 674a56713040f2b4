"""Data that an earlier build wrote, read and written again by the present code."""
