"""Where work goes: near while that is safe, else elsewhere in measure, decided in common.  No I/O."""
