/** Which objects of a kind changed. */
export interface ChangeNotice {
  readonly kind: string
  readonly names: readonly string[]
  /** Whether those that went are gone for certain; left out where no answer of the store says this. */
  readonly sure?: boolean
  /** How long those that went are to be used on, ms, where that isn't certain. */
  readonly hold?: number
}
