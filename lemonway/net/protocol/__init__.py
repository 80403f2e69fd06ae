"""Wire protocols: parsers without reactor or socket access, and the thin connection classes that feed them."""
