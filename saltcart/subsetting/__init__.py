"""Choices of many instances that add up: who connects to which upstreams, and when each acts.  No I/O."""
