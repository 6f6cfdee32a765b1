"""Generated message classes; regenerate with proto/generate.sh."""
