"""The entry: serves callers and operators, dispatches tasks to agents, recovers lost owners."""
