"""Small stand-ins for the outside systems: platform log, targets, cut connections."""
