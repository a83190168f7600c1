"""Retry storms: noticed, damped, and told when to come back.  Decisions alone, no I/O."""
