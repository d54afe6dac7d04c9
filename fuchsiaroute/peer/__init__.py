"""The inner protocol: messages between the entries of one deployment."""
