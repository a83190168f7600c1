"""The fronts: each turns its wire's requests into the core's asks and answers back."""
