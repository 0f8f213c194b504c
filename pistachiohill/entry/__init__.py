"""The entry: serves callers and operators, dispatches tasks and recovers submissions."""
