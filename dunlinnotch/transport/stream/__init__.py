"""Network input and output on one event loop: HTTP/1.1 server and client, and peer messages."""
