import { StringDecoder } from 'node:string_decoder'
import { EventBuffer } from './event-buffer.js'
import type { SseEvent } from './sse-event.js'

const LINE_BREAK = /\r\n|\n|\r/

/**
 * Decodes a byte stream into server-sent events. Returns complete events only; text after the last blank line is buffered
 * and discarded if the stream ends.
 *
 * Source: HTML standard, section 9.2, "Server-sent events".
 */
export class SseReader {
  private readonly buffer = new EventBuffer()
  private readonly decoder = new StringDecoder('utf8')

  /** Whether the current event is longer than any allowed one. */
  get isOverlong (): boolean {
    return this.buffer.isOverlong
  }

  /** Adds bytes and returns the events that they complete. */
  push (bytes: Buffer): readonly SseEvent[] {
    return this.buffer.push(this.decoder.write(bytes)).map(({ whole, lines }) => ({ raw: whole, data: readData(lines) }))
  }
}

function readData (event: string): string {
  return event.split(LINE_BREAK)
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice(line.startsWith('data: ') ? 6 : 5))
    .join('\n')
}
