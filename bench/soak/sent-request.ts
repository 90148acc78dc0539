/** A request and the response that its caller got. Times in ms. */
export interface SentRequest {
  readonly id: string
  readonly daemon: number
  readonly at: number
  readonly until: number
  readonly path: string
  /** Name of the organisation whose key it had, empty for a key that no configuration has. */
  readonly caller: string
  readonly resumable: boolean
  /** The attempt that brought the first event, and the last event of it, if this one resumes its stream. */
  readonly resumption?: { readonly resumes: string, readonly after: number }
  readonly outcome: 'whole' | 'refused' | 'failed' | 'cut' | 'no route' | 'no connection'
  readonly status: number
  readonly stamp: string | undefined
  readonly text: string
}
