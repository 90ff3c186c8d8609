"""Reports for operators, built by pure functions from the coordinators' snapshots."""
