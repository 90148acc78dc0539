const GOLDEN = (Math.sqrt(5) - 1) / 2

/**
 * How one daemon rounds its part of one server, between 0 and 1: up at some servers and down at others so that its whole
 * part is met within one place, and other than the other daemons at the same server. Rounded all alike, parts of half a
 * place would add up to twice the pool, or to nothing.
 *
 * Source: the golden-ratio (Weyl) sequence, Knuth, "The Art of Computer Programming", volume 3, section 6.4.
 */
export function spreadRounding ({ server, daemon, daemons }: { readonly server: number, readonly daemon: number, readonly daemons: number }): number {
  return (server * GOLDEN + Math.max(0, daemon) / daemons) % 1
}
