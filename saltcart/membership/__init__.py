"""Fleet membership: a SWIM-like failure detector with gossip.  Decisions only, no I/O."""
