"""`python -m stepknot` is the command line."""

from stepknot.cli.entry import main

if __name__ == "__main__":
    main()
