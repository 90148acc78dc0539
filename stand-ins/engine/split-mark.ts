/** Splits a word from the mark of its run, which is undefined if it has none. */
export function splitMark (word: string): { readonly word: string, readonly run: string | undefined } {
  const at = word.lastIndexOf('@')
  return at < 0 ? { word, run: undefined } : { word: word.slice(0, at), run: word.slice(at + 1) }
}
