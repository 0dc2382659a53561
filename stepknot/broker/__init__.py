"""The broker's core: a query's life. It feeds the decision module and carries out what that decides."""
