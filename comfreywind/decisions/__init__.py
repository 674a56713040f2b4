"""Decision logic as pure functions over immutable values, without input or output."""
