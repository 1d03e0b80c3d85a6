"""Records that outlive the process: a journal with group commit, twice-written blocks, compaction."""
