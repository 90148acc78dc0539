const MARK = '@'

/** Appends the mark of its run, if any, to a word; `splitMark` is the inverse. */
export function addMark (word: string, run: string | undefined): string {
  return run === undefined ? word : `${word}${MARK}${run}`
}
