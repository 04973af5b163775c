"""What is decided for one request on its way to a target and back."""
