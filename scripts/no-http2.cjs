// In place of Node's HTTP/2, which the daemon doesn't speak and would load before it serves anybody; undici does without.
throw new Error('HTTP/2 is not in the bundle')
