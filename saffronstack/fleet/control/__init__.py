"""The daemon that reconciles the gateways of one machine, and its clients (`docs/rollout.md`)."""
