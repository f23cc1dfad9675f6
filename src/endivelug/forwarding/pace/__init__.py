"""How fast each upstream is sent requests, and when it is sent none.

An upstream states pauses and its departure itself; the pace of one that starts or
recovers is derived from how it responds.
"""
