"""What rides the messages between hosts: values' digests, news and rumors."""
