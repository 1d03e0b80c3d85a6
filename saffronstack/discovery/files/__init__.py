"""Who the workers are: lists from files and configuration, checked, guarded, merged, applied whole or not at
all."""
