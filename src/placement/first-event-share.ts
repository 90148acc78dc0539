/** Share of a request's target time that a server with a free slot takes until the first event. */
export const firstEventShare = 0.35
