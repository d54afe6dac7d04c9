"""Entry point of ``python -m fuchsiaroute``."""

from fuchsiaroute.cli import main

if __name__ == "__main__":
    main()
