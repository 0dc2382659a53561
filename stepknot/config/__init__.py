"""Settings: HCL in, validated frozen dataclasses out. Errors name file, line, key and what was expected."""
