"""Service discovery: which workers there are, over DNS (`dns`) or from watched files (`files`)."""
