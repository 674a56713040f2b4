"""Message streams between entry processes."""
