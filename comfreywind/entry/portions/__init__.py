"""The task that holds this entry's portions: session, store rows and peer messages."""
