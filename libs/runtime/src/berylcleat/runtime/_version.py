"""Version of the product."""

VERSION = "0.2.0"
