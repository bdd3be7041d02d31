"""Small stand-ins for the platform and for targets, run as processes of their own."""
