/** A call to the thread of a `ThreadedFlood`: starts its server, lists how long its floods have lasted, or counts its open connections. */
export type FloodCall = 'start' | 'list times' | 'count open'
