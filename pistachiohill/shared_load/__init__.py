"""What the entries of an agent know together: run times at its target, and waiting work."""
