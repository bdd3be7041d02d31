"""HTTP/1.1 on one event loop: callers' connections, targets' connections, peers' datagrams."""
