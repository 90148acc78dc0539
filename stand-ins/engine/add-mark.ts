const MARK = '@'

/** The word as a run with a mark gives it; `splitMark` takes the two apart. */
export function addMark (word: string, run: string | undefined): string {
  return run === undefined ? word : `${word}${MARK}${run}`
}
