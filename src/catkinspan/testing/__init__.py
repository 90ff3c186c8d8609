"""Virtual clock and fake message channel for tests, benches and embedders."""
