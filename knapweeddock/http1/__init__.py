"""HTTP/1.1 client and server connections, parsed by ``httptools``.

The code that uses a connection controls its reuse and its end. The gateway has
to know the message boundaries on a connection: whether a response is complete,
whether bytes follow it, and whether a request was read. HTTP libraries with
their own connection management hide this.
"""
