/** One request of a job, sent to a backend server like an online request. */
export interface JobItem {
  readonly id: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** In base64, both as submitted and as stored. */
  readonly body: string
  /** Tokens of the prompt plus the limit on generated tokens. */
  readonly tokens: number
}
