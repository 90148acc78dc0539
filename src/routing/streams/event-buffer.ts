/** The end of an event: two line breaks in a row. */
const BLANK_LINE = /\r\n\r\n|\n\n|\r\r/g
const LONGEST_BLANK_LINE = 4
/** Longest event, in characters; a faulty server may send bytes without end. */
const MAX_EVENT_LENGTH = 1_000_000

/** Buffers the text of a stream of server-sent events until blank lines complete them. */
export class EventBuffer {
  private buffered = ''

  get isEmpty (): boolean {
    return this.buffered === ''
  }

  /** Whether what is buffered can't become an event of allowed length. */
  get isOverlong (): boolean {
    return this.buffered.length > MAX_EVENT_LENGTH
  }

  /** Adds text and returns the events that it completes, each as its text and that without the blank line. */
  push (text: string): ReadonlyArray<{ readonly whole: string, readonly lines: string }> {
    // What was searched before can only hold the beginning of a blank line.
    BLANK_LINE.lastIndex = Math.max(0, this.buffered.length - LONGEST_BLANK_LINE + 1)
    this.buffered += text
    const events: Array<{ readonly whole: string, readonly lines: string }> = []
    let start = 0
    for (let end = BLANK_LINE.exec(this.buffered); end !== null; end = BLANK_LINE.exec(this.buffered)) {
      events.push({ whole: this.buffered.slice(start, BLANK_LINE.lastIndex), lines: this.buffered.slice(start, end.index) })
      start = BLANK_LINE.lastIndex
    }
    this.buffered = this.buffered.slice(start)
    return events
  }
}
