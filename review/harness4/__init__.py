"""Stand-ins of the platform for the cases 16 to 20, and the processes under test."""
