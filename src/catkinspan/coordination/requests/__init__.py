"""The stages of a request, from its arrival to its end."""
