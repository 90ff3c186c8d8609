"""State classes: identifiers, the settings tree, hosts and node settings.

Instances are immutable, so tasks can share them.
"""
