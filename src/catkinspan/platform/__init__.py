"""Names, formats and API calls of the operator platform.

This package only translates between the platform's formats and the internal types; it
makes no decisions. No other package uses the platform's names.
"""
