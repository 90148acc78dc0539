/** One item of a batch file: a line of it, as the OpenAI shapes define it. */
export interface Item {
  /** `custom_id`, unique in the file. */
  readonly id: string
  readonly url: string
  readonly body: Readonly<Record<string, unknown>>
}
