"""Finds out from log lines what became of a request, and why."""
