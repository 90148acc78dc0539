/** An uploaded batch file, in the object `file/ID`; its items are in the objects `items/ID.N`. */
export interface BatchFile {
  readonly id: string
  readonly caller: string
  readonly name: string
  readonly bytes: number
  readonly items: number
  readonly chunks: number
  /** Wall-clock ms. */
  readonly created: number
}
