"""The operator platform's names, formats and calls.

Everything here translates between the platform's wire and the project's own types;
nothing decides. No other package knows the platform's names.
"""
