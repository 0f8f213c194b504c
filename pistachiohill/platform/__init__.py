"""Adapter to the users' platform: everything that knows its names, and nothing else.

Calls and fields are decoded here, once, into types that say what they hold; the rest of the product
decides by those types.
"""
