"""Files and messages that commit 0684301 wrote, read and written again by the present code."""
