"""Sockets, TLS, h11 and grpclib; contains no policy."""
