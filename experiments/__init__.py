"""Experiments and measurements over stand-ins."""
