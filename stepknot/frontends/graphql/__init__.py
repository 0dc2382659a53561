"""GraphQL over HTTP as a federated subgraph, on the broker's core."""
