"""Programs for the project itself."""
