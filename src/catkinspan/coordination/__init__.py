"""Decision logic of a host, without I/O, message encodings or clock access."""
