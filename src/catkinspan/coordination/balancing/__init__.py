"""Choice of the server for each attempt."""
