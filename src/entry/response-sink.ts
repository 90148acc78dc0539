import type { ServerResponse } from 'node:http'
import type { Refusal } from '../admission/refusal.js'
import type { AnswerSink } from '../routing/exchanges/answer-sink.js'
import { dropConnectionHeaders } from '../http/drop-connection-headers.js'
import { sendRoutedRefusal } from './send-routed-refusal.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/**
 * Writes a routed answer to the caller's response. A length or a last chunk marks its end, however its server marked it: the system closes
 * the connections of a killed process regularly. Errors after the caller has disconnected are ignored.
 */
export class ResponseSink implements AnswerSink {
  constructor (private readonly res: ServerResponse) {
    res.on('error', () => {})
  }

  answer (status: number, headers: Headers, body: Buffer): void {
    if (this.res.destroyed) return
    this.res.writeHead(status, { ...dropConnectionHeaders(headers), 'content-length': body.length })
    this.res.end(body)
  }

  refuse (refusal: Refusal): void {
    if (!this.res.destroyed) sendRoutedRefusal(this.res, refusal)
  }

  /** Starts a streamed answer without its length, which would be wrong once another server resumes the stream. */
  begin (status: number, headers: Headers): void {
    const { 'content-length': _length, ...rest } = dropConnectionHeaders(headers)
    this.res.writeHead(status, rest)
  }

  async write (bytes: Buffer): Promise<void> {
    const { res } = this
    if (res.destroyed || res.write(bytes)) return
    await new Promise<void>(resolve => {
      const end = (): void => {
        res.off('drain', end)
        res.off('close', end)
        resolve()
      }
      res.on('drain', end)
      res.on('close', end)
    })
  }

  end (): void {
    this.res.end()
  }

  abort (): void {
    this.res.destroy()
  }
}
