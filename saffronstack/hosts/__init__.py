"""The hosts' side: JSON lines, links that carry many requests, and the dispatcher over them."""
