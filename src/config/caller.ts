/** A caller: who may ask, and for how much of the fleet relative to others. */
export interface Caller {
  /** Weight of its share when all are busy. */
  readonly share: number
  /** Team, desk or organisation that reports add it up under. */
  readonly team?: string
  /** SHA-256 of each of its bearer tokens, in hex. */
  readonly tokens: readonly string[]
}
