"""Virtual clock, fake message channel and virtual hosts for tests, benchmarks and
programs that embed the library.
"""
