"""Adapter to the users' platform.

Only this package knows the names that the platform uses for calls and fields. It decodes them into
typed models, and the rest of the product works with these models alone.
"""
