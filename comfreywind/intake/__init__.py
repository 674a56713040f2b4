"""The HTTP interface through which callers submit, query and cancel jobs."""
