"""Network I/O: the HTTP server, links between boxes, and clients of targets and the platform."""
