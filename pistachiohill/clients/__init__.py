"""Bounds on what clients that aren't controlled can make a process hold."""
