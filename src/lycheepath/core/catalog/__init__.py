"""What the operator and the targets say: routes, services, limits, targets."""
