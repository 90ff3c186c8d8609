"""Reports as text for a terminal."""
