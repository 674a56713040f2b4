"""The portion protocol (docs/design.md, 5.1).

Entries hold portions of each team's ceiling, so that a request can start without a write to the
store.
"""
