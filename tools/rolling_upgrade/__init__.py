"""Replaces entry instances of one release by another one under load, and goes back."""
