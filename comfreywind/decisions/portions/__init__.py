"""The portion protocol of section 5.1 of docs/design.md: keeps ceilings without a write a request."""
