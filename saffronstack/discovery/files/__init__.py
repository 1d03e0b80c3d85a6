"""Discovery from watched files. Worker lists are read, checked, reviewed, merged and applied as a whole."""
