"""Demonstration and measurements of egrethall."""
