"""The admin socket of a broker: JSON views of its subsystems, and operators' commands."""
