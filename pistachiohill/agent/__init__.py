"""The agent: admits tasks for one target, starts them and records their outcomes."""
