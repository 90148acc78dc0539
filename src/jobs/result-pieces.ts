import type { ListedResult } from './listed-result.js'
import type { StoredResult } from './stored-result.js'

interface Known { readonly count: number, readonly text: string }

/**
 * Joins results whose texts are stored in pieces. A result is whole, and takes its position, with its last piece. Two owners of a job may store
 * pieces of different runs of an item in turn: the first piece begins the text anew, and an owner adds to pieces only while they are the
 * beginning of its own text, so that the text that becomes whole is that of one run.
 */
export class ResultPieces {
  private readonly known = new Map<string, Known>()

  /** Adds a result in the order of the stored segments; returns it once it is whole. */
  add (stored: StoredResult): ListedResult | undefined {
    const { piece, ...result } = stored
    if (piece === undefined) {
      this.known.delete(result.id)
      return stored
    }
    const before = piece.n === 0 ? { count: 0, text: '' } : this.known.get(result.id)
    if (before?.count !== piece.n) return undefined
    const text = before.text + result.text
    if (piece.isLast) this.known.delete(result.id)
    else this.known.set(result.id, { count: piece.n + 1, text })
    return piece.isLast ? { ...result, text } : undefined
  }

  /** Returns the number of the next piece of a result's text, and where in the text it begins. */
  findNext ({ id, text }: ListedResult): { readonly n: number, readonly from: number } {
    const known = this.known.get(id)
    return known !== undefined && text.startsWith(known.text) ? { n: known.count, from: known.text.length } : { n: 0, from: 0 }
  }
}
