"""Memory-seconds metering: what each tenant's functions used on the workers; each record counts once."""
