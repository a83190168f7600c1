"""The service core: requests, idempotency keys, results, timers, health and drain, behind small ports."""
