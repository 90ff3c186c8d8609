"""Health of upstream servers: pooled evidence, ejections, bad paths and drains."""
