"""Zone-aware routing: local zone first, failover to other zones by a plan that the fleet shares.  No I/O."""
