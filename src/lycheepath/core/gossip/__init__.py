"""What gossip carries: digests of values, updates and the queue of pending ones."""
