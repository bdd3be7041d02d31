"""Tools for developing the project."""
