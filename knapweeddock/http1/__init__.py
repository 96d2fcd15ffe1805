"""HTTP/1.1 connections under the caller's control, parsed by ``httptools``.

The gateway has to see each byte boundary of a connection: whether a response
is complete, whether bytes follow it, whether a request was read. Libraries
that manage connections themselves hide this.
"""
