"""Example declarations and settings of two deployments."""
