"""The command line: thin, each command in a few lines over what does the work."""
