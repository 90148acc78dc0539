/** One item of a batch file: a line of it, as the OpenAI shapes define it. */
export interface Item {
  /** `custom_id`, unique in the file. */
  readonly id: string
  readonly url: string
  readonly body: Readonly<Record<string, unknown>>
  /** Whether it may be sent again when it isn't known whether it ran; items of kept files always say. */
  readonly idempotent?: boolean
}
