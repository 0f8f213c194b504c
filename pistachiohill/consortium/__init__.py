"""The consortium's state as reduced from the platform's log, and its freshness."""
