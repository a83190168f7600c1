"""Retry storms: detection, admission control and a schedule for retries.  Pure decisions, no I/O."""
