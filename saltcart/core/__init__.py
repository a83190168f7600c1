"""The service: requests, keys, results, timers, health and drain, behind small ports."""
