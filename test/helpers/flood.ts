/** What a flooding server writes without end, `text`, after `begin`. */
export interface Flood {
  /** Returns what precedes the flood in the answer to a request. */
  readonly begin: 'events' | 'chunked events' | 'stream' | 'body' | 'unfinished event' | 'unfinished head' | 'unfinished header' | 'nothing'
  readonly text: string
  /** Whether it floods the requests for its report too. */
  readonly floodsReports?: boolean
}
