"""Network drivers: sockets, connections and timers; they leave decisions to the core."""
