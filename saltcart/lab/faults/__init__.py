"""Fault injection rig: real service processes, scripted network and process faults, and recorded results."""
