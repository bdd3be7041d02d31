"""Sockets: the HTTP front, clients for targets and platform, peer streams."""
