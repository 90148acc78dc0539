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
  /** `keepAnswer` is called with the length of a whole answer, which is kept until the caller has read it. */
  constructor (private readonly res: ServerResponse, private readonly keepAnswer: (bytes: number) => void = () => {}) {
    res.on('error', () => {})
  }

  answer (status: number, headers: Headers, body: Buffer): void {
    if (this.res.destroyed) return
    this.keepAnswer(body.length)
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

  async write (bytes: Buffer, signal?: AbortSignal): Promise<void> {
    const { res } = this
    if (res.destroyed || res.write(bytes) || signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const end = (): void => {
        res.off('drain', end)
        res.off('close', end)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      res.on('drain', end)
      res.on('close', end)
      signal?.addEventListener('abort', end)
    })
  }

  end (): void {
    this.res.end()
  }

  abort (): void {
    this.res.destroy()
  }
}
