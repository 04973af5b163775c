"""
A multi-region inference gateway.

Processes of this package route requests from callers to the model engines and
plain services that a company runs in several regions. They have no shared
writable state: shared data is read from the platform or received from peers.
"""

from __future__ import annotations

__version__ = "0.1.0"
