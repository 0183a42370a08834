"""A layer-4 load balancer of many small nodes that keep flows unbroken."""

import os

__version__ = "0.1.0"

# gRPC reads this on import. By default it logs a line to standard error for each
# failed handshake, so any client could flood the log.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
