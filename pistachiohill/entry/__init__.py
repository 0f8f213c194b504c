"""The entry: answers callers and operators, places tasks at agents, recovers from lost owners."""
