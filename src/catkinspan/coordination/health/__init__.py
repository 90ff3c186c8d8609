"""Server health: the probability of failure, estimated from the fleet's requests."""
