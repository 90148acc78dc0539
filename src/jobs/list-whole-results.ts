import type { ListedResult } from './listed-result.js'
import { ResultPieces } from './result-pieces.js'
import type { StoredResult } from './stored-result.js'

/** Lists the results that are whole in all segments of a job, in the order of their positions. */
export function listWholeResults (segments: ReadonlyArray<readonly StoredResult[]>, pieces = new ResultPieces()): ListedResult[] {
  return segments.flat().flatMap(stored => pieces.add(stored) ?? [])
}
