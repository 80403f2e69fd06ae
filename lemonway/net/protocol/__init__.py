"""The wires: parsers that know no reactor, and thin connections that feed them."""
