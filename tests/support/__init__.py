"""What end-to-end tests share: gateways and stand-in workers in this process, raw sockets."""
