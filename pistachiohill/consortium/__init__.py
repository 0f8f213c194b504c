"""The consortium's state, reduced from the platform's log, and how fresh it is."""
