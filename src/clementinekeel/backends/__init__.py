"""The backend server beside the node."""
