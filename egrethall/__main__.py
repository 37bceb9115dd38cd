"""Runs the command line with ``python -m egrethall``."""

from egrethall.commands import main

if __name__ == "__main__":
    main()
