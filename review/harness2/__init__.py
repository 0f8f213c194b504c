"""Stand-ins and helpers for the scripted cases of the second review; standard library only."""
