"""State classes: identifiers, the settings tree, hosts and node settings.

Instances are frozen, so that one task may hand them to another.
"""
