/** Results in an object of their own, `part/NAME`, which is created once and never changed. */
export interface ResultPart {
  readonly name: string
  readonly items: readonly number[]
  readonly completed: number
  readonly failed: number
}
