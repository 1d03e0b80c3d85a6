"""Storage that survives a crash: write-ahead logs with group commit and compaction, and sorted runs."""
