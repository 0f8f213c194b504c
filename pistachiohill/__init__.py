"""Dispatch sub-second tasks to targets and answer for every outcome."""

__version__ = "0.1.0"
