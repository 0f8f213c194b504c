"""The consortium's state, reduced from topics of the platform's store, and its freshness."""
