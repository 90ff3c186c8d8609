"""Load balancing: selects the upstream server of each attempt."""
