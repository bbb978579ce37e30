"""Message types, codec and gRPC services shared by the processes."""
