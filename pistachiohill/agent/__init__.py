"""The agent: admits, starts and remembers the tasks of one target."""
