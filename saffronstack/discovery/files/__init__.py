"""Discovery by watched files: lists of workers are read, checked, guarded, merged and applied completely."""
