"""Thin drivers: they read, write, connect and keep time, and leave every meaning to others."""
