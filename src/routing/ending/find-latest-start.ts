/**
 * How much longer than the longest of the last runs a request may take, as a share of that: one that may not be repeated is lost if it is cut,
 * the caller of another one can repeat it.
 */
const LONGER = { once: 0.2, repeatable: 0.05 }
/** Least time for a request, ms. */
const MIN_LEFT = 300

interface LatestStartInputs {
  /** When the process cuts what hasn't ended; undefined while it isn't ending. */
  readonly endsAt: number | undefined
  /** When the request is given up in any case. */
  readonly deadline: number
  /** How long requests like it took at most of late, ms; undefined where that isn't known. */
  readonly longest: number | undefined
  readonly repeatable: boolean
}

/**
 * Returns the last moment at which a request may start so that it isn't cut when its process ends. Times in monotonic ms.
 *
 * A refusal before a byte has gone to a server costs its caller a moment, a cut one its answer: what isn't known to end in time doesn't start.
 */
export function findLatestStart ({ endsAt, deadline, longest, repeatable }: LatestStartInputs): number {
  if (endsAt === undefined || deadline <= endsAt) return Infinity
  if (longest === undefined) return -Infinity
  return endsAt - Math.max(MIN_LEFT, longest * (1 + (repeatable ? LONGER.repeatable : LONGER.once)))
}
