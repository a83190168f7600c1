"""An overload controller that runs inside each server of a fleet."""
