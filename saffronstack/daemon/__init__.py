"""A gateway of several processes on one address: the supervisor, and what each process knows of the rest."""
