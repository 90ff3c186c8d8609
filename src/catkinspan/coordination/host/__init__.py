"""One host's coordinators, composed."""
