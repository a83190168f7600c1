"""The fleet's view of itself, kept by its members: who is there, who is gone.  Decisions alone, no I/O."""
