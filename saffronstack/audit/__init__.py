"""The five rules judged from traffic: what clients' and workers' sockets saw, not the gateway's word."""
