"""Discovery of workers over DNS (package `dns`) or from watched files (package `files`)."""
