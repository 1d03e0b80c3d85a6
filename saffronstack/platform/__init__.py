"""The gateway as it runs on the users' platform: configuration, client connections, signals, service."""
