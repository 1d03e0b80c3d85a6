"""Rolling updates in stages: plans, canary analysis, the controller and its leader (`docs/rollout.md`)."""
