const GOLDEN = (Math.sqrt(5) - 1) / 2

/**
 * Returns the rounding of one daemon's part of one server's limit, between 0 and 1. It varies by server, so that the rounded
 * parts add up to the daemon's fraction of the pool, and by daemon, so that daemons don't all round up at the same server.
 * With one rounding for all, parts of one half would add up to twice the limit or to nothing.
 *
 * Source: the golden-ratio (Weyl) sequence, Knuth, "The Art of Computer Programming", volume 3, section 6.4.
 */
export function spreadRounding ({ server, daemon, daemons }: { readonly server: number, readonly daemon: number, readonly daemons: number }): number {
  return (server * GOLDEN + Math.max(0, daemon) / daemons) % 1
}
