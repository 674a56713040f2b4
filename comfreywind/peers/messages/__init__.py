"""Messages between entry processes, one file each."""
