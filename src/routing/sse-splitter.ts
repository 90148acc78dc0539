/** Two line breaks in a row, by the bytes of an event stream. */
const BLANK_LINE = /\r\n\r\n|\n\n|\r\r/
const ID = /^id: ?(.*)$/m
const DATA = /^data: ?(.*)$/gm

/** One whole event of a stream, its bytes unchanged. */
interface RawEvent {
  readonly bytes: Buffer
  /** Its id, where it has one that is a number. */
  readonly id: number | undefined
  /** Its data lines, joined by line feeds. */
  readonly data: string
}

/**
 * Cuts the bytes of a stream into whole events without changing them; what follows the last blank line is held back, so
 * that an event which its server broke off is never seen. Bytes are held as Latin-1, which any bytes survive.
 *
 * Source: HTML standard, section 9.2, "Server-sent events".
 *
 * @example
 * for (const event of cutter.push(bytes)) relay(event.bytes)
 */
export class SseSplitter {
  private buffered = ''

  /** Whether nothing of an unfinished event is held. */
  get isAtBoundary (): boolean {
    return this.buffered === ''
  }

  push (bytes: Buffer): readonly RawEvent[] {
    this.buffered += bytes.toString('latin1')
    const events: RawEvent[] = []
    for (let end = BLANK_LINE.exec(this.buffered); end !== null; end = BLANK_LINE.exec(this.buffered)) {
      const length = end.index + end[0].length
      events.push(readEvent(this.buffered.slice(0, length)))
      this.buffered = this.buffered.slice(length)
    }
    return events
  }
}

function readEvent (text: string): RawEvent {
  const lines = text.replace(/\r\n?/g, '\n')
  const id = ID.exec(lines)?.[1]
  const data = [...lines.matchAll(DATA)].map(([, line]) => line).join('\n')
  return { bytes: Buffer.from(text, 'latin1'), id: id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined, data: Buffer.from(data, 'latin1').toString() }
}
