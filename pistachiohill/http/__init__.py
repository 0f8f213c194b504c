"""A small typed layer over ASGI for the HTTP interfaces of the daemons."""
