"""The search front: OpenSearch's public REST protocol over HTTP/1.1."""
