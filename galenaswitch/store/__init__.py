"""Client of the platform's object API, with conditional writes and watches."""
