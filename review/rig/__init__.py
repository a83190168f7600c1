"""Stand-ins for the platform, the worker pool, the index and the balancers, for the cases of the review."""
