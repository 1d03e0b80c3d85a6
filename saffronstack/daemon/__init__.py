"""A gateway of several processes on one address: their supervisor, and how they find and reach each other."""
