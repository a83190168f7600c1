"""The laboratory: the service's own deciding code in a model, at sizes that sockets don't reach."""
