"""Which entry hosts there are, and which of them are the hubs of a data centre."""
