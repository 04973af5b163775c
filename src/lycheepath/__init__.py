"""
A multi-region inference gateway.

Processes of this package stand between callers and the model engines and
plain services that a firm runs in several regions. They share no writable
state: what they hold in common is read from the platform or told by peers.
"""

from __future__ import annotations

__version__ = "0.1.0"
