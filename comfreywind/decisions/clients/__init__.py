"""Decisions about clients of the process: what they may take up, and whom to close first."""
