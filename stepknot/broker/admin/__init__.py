"""The admin socket of a broker: what it decides, as JSON, and operators' commands."""
