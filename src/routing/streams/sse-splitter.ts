import { EventBuffer } from './event-buffer.js'

const ID = /^id: ?(.*)$/m
const DATA = /^data: ?(.*)$/gm

/** One complete event with its original bytes. */
interface RawEvent {
  readonly bytes: Buffer
  /** The event's id if it is a number. */
  readonly id: number | undefined
  /** The event's `data` lines, joined by line feeds. */
  readonly data: string
}

/**
 * Splits a byte stream into complete server-sent events without changing their bytes. Buffers what follows the last blank
 * line, so that an incomplete event is never relayed. Decodes as Latin-1, which maps any byte to one character and back.
 *
 * Source: HTML standard, section 9.2, "Server-sent events".
 *
 * @example
 * for (const event of splitter.push(bytes)) relay(event.bytes)
 */
export class SseSplitter {
  private readonly buffer = new EventBuffer()

  /** Whether the bytes so far end with a complete event. */
  get isAtBoundary (): boolean {
    return this.buffer.isEmpty
  }

  /** Whether the current event is longer than any allowed one. */
  get isOverlong (): boolean {
    return this.buffer.isOverlong
  }

  /** Adds bytes and returns the events that they complete. */
  push (bytes: Buffer): readonly RawEvent[] {
    return [...this.read(bytes)]
  }

  /** Adds bytes and decodes the events that they complete one by one, so that those after the last one that is wanted cost nothing. */
  * read (bytes: Buffer): Generator<RawEvent> {
    for (const { whole } of this.buffer.push(bytes.toString('latin1'))) yield readEvent(whole)
  }
}

function readEvent (text: string): RawEvent {
  const lines = text.replace(/\r\n?/g, '\n')
  const id = ID.exec(lines)?.[1]
  const data = [...lines.matchAll(DATA)].map(([, line]) => line).join('\n')
  return { bytes: Buffer.from(text, 'latin1'), id: id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined, data: Buffer.from(data, 'latin1').toString() }
}
