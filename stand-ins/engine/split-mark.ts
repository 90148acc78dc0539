/** A word that a marking engine gave, and the run that gave it; undefined where it has no mark. */
export function splitMark (word: string): { readonly word: string, readonly run: string | undefined } {
  const at = word.lastIndexOf('@')
  return at < 0 ? { word, run: undefined } : { word: word.slice(0, at), run: word.slice(at + 1) }
}
