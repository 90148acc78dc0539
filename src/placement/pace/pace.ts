/** How fast a server's events come, compared with those of its group. */
export type Pace = 'usual' | 'too slow' | 'to be probed'
