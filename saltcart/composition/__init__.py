"""Composed runs: a request's time shared among the dependencies that it needs.  Decisions alone, no I/O."""
