"""The fault rig: real processes of the program, links that fail by script, checks of what was seen."""
