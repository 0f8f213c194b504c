"""Entry point of `python -m pistachiohill`."""

from .cli.main import main

if __name__ == "__main__":
    main()
