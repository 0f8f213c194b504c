"""Task scheduling: fair queueing, target selection, run time estimates and quarantine."""
