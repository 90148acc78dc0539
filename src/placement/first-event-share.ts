/** Share of a request's target that its first event takes once it is sent to a server with a free slot. */
export const firstEventShare = 0.35
