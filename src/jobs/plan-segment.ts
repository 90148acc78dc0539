import { countJsonBytes } from './count-json-bytes.js'
import { readTextPiece } from './read-text-piece.js'
import type { ListedResult } from './listed-result.js'
import type { ResultPieces } from './result-pieces.js'
import { splitBySize } from './split-by-size.js'
import type { StoredResult } from './stored-result.js'

/** Maximum bytes of results in one segment, as stored: the store refuses values over 1 MB each time. */
const SEGMENT_BYTES = 500_000
/** Maximum bytes of a result that is stored whole, in a segment of its own if necessary. */
const WHOLE_BYTES = 900_000

/**
 * Plans the next segment of a job's pending results. Those that are stored whole come first, so that none waits for a larger one, whose text
 * then takes several segments.
 */
export function planSegment (pending: readonly ListedResult[], pieces: Pick<ResultPieces, 'findNext'>): readonly StoredResult[] {
  const [whole = []] = splitBySize(pending.filter(result => countJsonBytes(result) <= WHOLE_BYTES), countJsonBytes, SEGMENT_BYTES)
  const [large] = pending
  if (whole.length > 0 || large === undefined) return whole
  const { n, from } = pieces.findNext(large)
  const text = readTextPiece(large.text, from, SEGMENT_BYTES)
  return [{ ...large, text, piece: { n, isLast: from + text.length === large.text.length } }]
}
