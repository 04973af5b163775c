"""One gateway process: its listeners, its tasks and their shared state."""
