"""Composed responses: a request's time is shared among the dependencies it calls.  Decisions only, no I/O."""
