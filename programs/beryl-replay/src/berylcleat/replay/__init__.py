"""Load generator and trace replay."""


def main() -> None:
    """Placeholder."""
