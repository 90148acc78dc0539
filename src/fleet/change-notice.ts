/** Changed objects of a kind. */
export interface ChangeNotice {
  readonly kind: string
  readonly names: readonly string[]
  /** Whether deleted objects are certainly gone; undefined if this isn't based on an answer of the store. */
  readonly sure?: boolean
  /** How long to keep using deleted objects, ms, if that isn't certain. */
  readonly hold?: number
}
