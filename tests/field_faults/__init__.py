"""What went wrong for operators of similar systems, one module for each."""
