"""Entry point of ``python -m ebonywell``."""

from .cmdline import main

if __name__ == '__main__':
    main()
