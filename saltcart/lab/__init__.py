"""Experiments: the service's own decision code in simulations, at sizes that real processes don't reach."""
