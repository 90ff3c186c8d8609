"""Request lifecycle, from arrival to completion."""
