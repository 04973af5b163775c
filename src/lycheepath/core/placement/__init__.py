"""Chooses the target of a request, or refuses the request."""
