"""Communication with the local backend server and with HTTP servers."""
