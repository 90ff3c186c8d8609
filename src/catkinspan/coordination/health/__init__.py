"""How likely each server is to fail the next request, from the fleet's requests."""
