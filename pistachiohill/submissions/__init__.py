"""Submissions: identifiers, their owner's records and recovery after an owner's death."""
