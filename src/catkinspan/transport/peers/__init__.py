"""grpclib streams between hosts."""
