// Replaces node:http2, which the daemon doesn't use; not loading it makes the daemon start faster. undici works without it.
throw new Error('HTTP/2 is not in the bundle')
