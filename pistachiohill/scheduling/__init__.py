"""Which task runs next, and where: fair queueing, target selection, estimates, quarantine."""
