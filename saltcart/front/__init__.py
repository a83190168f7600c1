"""Fronts: each translates the requests of one protocol for the core, and the core's responses back."""
