"""The clients' frames: RESP arrays of bulk strings, read and written without I/O."""
