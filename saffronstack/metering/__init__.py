"""Memory-seconds metering: what each tenant's functions held on the workers, counted once and never lost."""
