"""Rolling changes under faults: every order of events, and daemons, leaders and gateways as processes."""
