"""A gateway of several processes on one address: the member's part and the supervisor's."""
