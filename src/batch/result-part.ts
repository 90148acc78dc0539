/** Results in an object `part/NAME` of their own, which is created once and never changed. */
export interface ResultPart {
  readonly name: string
  readonly items: readonly number[]
  readonly completed: number
  readonly failed: number
}
