"""One gateway process: its listeners, its tasks and what they share."""
