"""Stand-ins of the review: the platform, its links, callers, targets and operators."""
