/** Moments of losses from which a part that passes now and then may be held to crash servers. */
const MIN_LOST = 5
/** Standard deviations by which its losses must exceed those of other requests. */
const MIN_DEVIATIONS = 3

interface Counts { readonly lost: number, readonly passed: number }

/**
 * Whether servers were lost under a part more often than chance explains, by the share of lost runs among all requests. Servers that end at one
 * moment count once, as what runs there is lost together.
 */
export function isConspicuous ({ lost, passed }: Counts, all: Counts): boolean {
  const share = all.lost / Math.max(1, all.lost + all.passed)
  const runs = lost + passed
  return lost >= MIN_LOST && lost - share * runs >= MIN_DEVIATIONS * Math.sqrt(runs * share * (1 - share))
}
