"""Explanations of requests: their outcomes from log lines, and placements to come."""
