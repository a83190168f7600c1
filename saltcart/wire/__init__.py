"""Protocol state machines: they are fed bytes and return messages, and know nothing of sockets."""
