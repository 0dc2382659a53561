"""The boxes' side: the codec of what is said to them, and the connections it goes over."""
