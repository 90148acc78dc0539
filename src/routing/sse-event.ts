/** One whole event of a server-sent event stream. */
export interface SseEvent {
  /** Its `data` lines, joined by line breaks. */
  readonly data: string
  /** The event as it came, with the blank line that ends it. */
  readonly raw: string
}
