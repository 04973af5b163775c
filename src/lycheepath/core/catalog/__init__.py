"""The configuration and the announced targets, as read from the platform's store."""
