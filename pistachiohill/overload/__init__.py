"""Decisions about work that is already placed, while targets are slow or leave."""
