"""The administration API: tenants, shares and upstreams, and a look at state and counts."""
