"""Protocol state machines: fed bytes, yielding messages; they know no socket."""
