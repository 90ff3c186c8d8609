"""Reading and watching the platform's store."""
