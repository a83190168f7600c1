"""Deterministic subsetting of an upstream's members, shared rate limits and staggered times.  No I/O."""
