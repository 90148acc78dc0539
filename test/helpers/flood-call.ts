/** A call to the thread of a `ThreadedFlood`: starts its server, or lists how long its floods have lasted. */
export type FloodCall = 'start' | 'list times'
