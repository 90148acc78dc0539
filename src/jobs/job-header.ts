/** What is stored of a job beside its items and results. */
export interface JobHeader {
  readonly host: string
  /** The path that it was submitted to, which selects its route whenever an item is run. */
  readonly path: string
  /** Wall-clock ms of its acceptance. */
  readonly submittedAt: number
  /** Stored objects that hold its items. */
  readonly parts: number
  readonly total: number
  readonly tokens: number
  /** The daemon that accepted it, and the wall-clock ms at which that one's process began. */
  readonly owner: string
  readonly run: number
}
