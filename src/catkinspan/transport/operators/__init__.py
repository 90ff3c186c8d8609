"""The HTTP listener for operators."""
