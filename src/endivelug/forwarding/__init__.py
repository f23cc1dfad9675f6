"""Transparent forwarding of requests to upstreams by route.

The decision modules do no I/O and get the current time as an argument. ``forwarder``,
``node`` and the connection modules do the I/O around them.
"""
