"""Lets ``python -m ebonywell`` run the command line."""

from .cmdline import main

if __name__ == '__main__':
    main()
