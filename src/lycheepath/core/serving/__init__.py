"""Decisions and values for one request on its way to a target and back."""
