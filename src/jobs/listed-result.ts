/** The result of an item. Its position among the results of its job never changes. */
export interface ListedResult {
  readonly id: string
  readonly state: 'completed' | 'failed'
  /** The data of all events in order, joined by line feeds. */
  readonly text: string
}
