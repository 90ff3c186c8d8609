"""Discovery of entry hosts and selection of the hubs of each data centre."""
