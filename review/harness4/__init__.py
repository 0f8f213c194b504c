"""Stand-ins of the platform for the cases 16 to 18, and the processes under test."""
