"""Choice of the route for a request."""
