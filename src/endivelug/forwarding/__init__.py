"""Transparent forwarding of requests to upstreams by route.

The decision modules do no input or output and take the present time as an argument;
``forwarder``, ``node`` and the modules of connections are the shells around them.
"""
