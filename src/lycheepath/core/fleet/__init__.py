"""Which hosts there are, found through seeds and kept by gossip alone."""
