"""Discovery of the hosts of the fleet through seeds and heartbeats alone."""
