"""Dispatcher for sub-second tasks that reports for every job whether it may have run."""

__version__ = "0.1.0"
