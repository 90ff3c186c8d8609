"""Sockets, TLS, h11 and grpclib, free of policy."""
