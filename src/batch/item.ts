/** One item of a batch file: a line in the OpenAI batch format. */
export interface Item {
  /** `custom_id`, unique in the file. */
  readonly id: string
  readonly url: string
  readonly body: Readonly<Record<string, unknown>>
  /** Whether it may be sent again when it is unknown whether it ran. Always set in stored items. */
  readonly idempotent?: boolean
}
