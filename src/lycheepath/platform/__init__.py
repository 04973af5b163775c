"""
The names, formats and calls of the users' platform, without any decisions.

Data of the platform is decoded here into the types of ``core``; the platform's terms
are used in no other package.
"""
