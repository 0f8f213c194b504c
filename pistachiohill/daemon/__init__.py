"""Daemon processes for entries and agents, which assemble and run the library's components."""
