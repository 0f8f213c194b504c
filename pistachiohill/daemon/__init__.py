"""The daemons: thin processes around the library."""
