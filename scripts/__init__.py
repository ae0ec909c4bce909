"""Scripts of the build."""
