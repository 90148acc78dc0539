import { StringDecoder } from 'node:string_decoder'
import type { SseEvent } from './sse-event.js'

const END_OF_EVENT = /\r\n\r\n|\n\n|\r\r/
const LINE_BREAK = /\r\n|\n|\r/

/**
 * Cuts a byte stream into server-sent events. Only whole events come out: what follows the last blank line is held
 * until its own comes, and is never seen if the stream ends before.
 *
 * Source: HTML standard, section 9.2, "Server-sent events".
 */
export class SseReader {
  private buffered = ''
  private readonly decoder = new StringDecoder('utf8')

  push (bytes: Buffer): readonly SseEvent[] {
    this.buffered += this.decoder.write(bytes)
    const events: SseEvent[] = []
    for (let end = END_OF_EVENT.exec(this.buffered); end !== null; end = END_OF_EVENT.exec(this.buffered)) {
      const length = end.index + end[0].length
      events.push({ raw: this.buffered.slice(0, length), data: readData(this.buffered.slice(0, end.index)) })
      this.buffered = this.buffered.slice(length)
    }
    return events
  }
}

function readData (event: string): string {
  return event.split(LINE_BREAK)
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice(line.startsWith('data: ') ? 6 : 5))
    .join('\n')
}
