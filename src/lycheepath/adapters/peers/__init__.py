"""Datagrams between hosts: capnp messages, authenticated, over trio's UDP."""
