"""Submissions: identifiers, the records of their owner, and recovery after the owner is lost."""
