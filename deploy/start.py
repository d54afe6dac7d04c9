"""Starts an instance from the compiled package that ``deploy/build`` puts here."""

from fuchsiaroute.__main__ import main

if __name__ == "__main__":
    main()
