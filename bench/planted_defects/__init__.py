"""Defects planted to show that a test fails without the code it guards, a module for each package."""
