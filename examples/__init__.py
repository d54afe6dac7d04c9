"""Example declarations of the two deployments."""
