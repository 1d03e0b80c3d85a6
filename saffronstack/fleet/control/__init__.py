"""The daemon of one machine, which runs its gateways as desired, and its clients (`docs/rollout.md`)."""
