"""The administration API: tenants, shares, upstreams, and the state and counters of the service."""
