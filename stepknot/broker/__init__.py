"""A broker: runs clients' queries by the decision module, and composes all subsystems of the process."""
