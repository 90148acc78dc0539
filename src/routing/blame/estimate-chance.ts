interface LossCounts {
  /** Moments at which servers were lost, and those among them with the part in flight there. */
  readonly moments: number
  readonly own: number
  /** Share of the runs in flight that had the part, and the number of runs that were lost. */
  readonly share: number
  readonly lostRuns: number
}

/**
 * Estimates how probable it is that a sound part was in flight at so many of the moments at which servers were lost: the more runs in
 * flight had it, the more often it is there by chance. The first moment with it is left out, as it brought the part under suspicion.
 */
export function estimateChance ({ moments, own, share, lostRuns }: LossCounts): number {
  const expected = share * lostRuns / Math.max(1, moments)
  return estimateTail(own - 1, moments - 1, 1 - Math.exp(-expected))
}

/** Probability of at least `least` hits in `trials` of probability `p`. */
function estimateTail (least: number, trials: number, p: number): number {
  let below = 0
  let term = (1 - p) ** trials
  for (let i = 0; i < least; i++) {
    below += term
    term *= (trials - i) / (i + 1) * p / (1 - p)
  }
  return Math.max(0, 1 - below)
}
