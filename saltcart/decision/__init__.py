"""Every decision about requests: which are admitted, in which order they run, which are rejected."""
