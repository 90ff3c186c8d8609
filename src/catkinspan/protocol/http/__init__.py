"""HTTP semantics of the callers' and the upstreams' side, without I/O."""
