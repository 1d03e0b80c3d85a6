"""Rolling updates in stages: plans, canary analysis, the controller and the leader (`docs/rollout.md`)."""
