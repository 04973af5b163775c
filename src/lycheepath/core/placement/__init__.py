"""Which target serves a request, and when it is refused instead."""
