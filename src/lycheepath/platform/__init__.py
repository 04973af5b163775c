"""
The users' platform: its names, formats and calls, and nothing that decides.

What comes from it is decoded here once, into the types of ``core``; no other
folder knows the platform's words.
"""
