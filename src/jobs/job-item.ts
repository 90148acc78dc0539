/** One request of a job, to be run as an online request would be. */
export interface JobItem {
  readonly id: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** In base64, as it was submitted and as it is stored. */
  readonly body: string
  /** Tokens of the prompt and of the longest answer together. */
  readonly tokens: number
}
