"""Selection of the upstream server of each attempt."""
