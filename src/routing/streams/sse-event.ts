/** One complete server-sent event. */
export interface SseEvent {
  /** Its `data` lines, joined by line breaks. */
  readonly data: string
  /** The event's original text, with the blank line that ends it. */
  readonly raw: string
}
