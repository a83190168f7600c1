"""All decisions about requests: which ones to admit, the order in which they run and which ones to reject."""
