"""Stand-ins of the users' platform and a launcher of the project's programs, for the cases here.

They use the standard library only, so that a case needs nothing but the deploy file's build.
"""
