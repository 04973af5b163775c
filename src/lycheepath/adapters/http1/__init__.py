"""HTTP/1.1 over trio streams with h11, for callers, targets, peers and the store."""
