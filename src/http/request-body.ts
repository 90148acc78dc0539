import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results'
import { BodyBuffer } from './body-buffer.js'
import type { BodyFailure } from './body-failure.js'
import { dropBody } from './drop-body.js'
import { receivePieces } from './receive-pieces.js'

interface RequestBodyOptions {
  /** Returns the longest body, bytes. */
  readonly getLimit: () => number
  /** Takes memory for further bytes; returns false where there is none. */
  readonly take?: (bytes: number) => boolean
  /** Called with each piece. */
  readonly onPiece?: () => void
}

/** The body of a request, collected from the moment of its arrival, so that no piece of it waits in the request. */
export class RequestBody {
  /** Resolves as soon as the body is whole or has failed. The rest of one that failed is read and dropped; see `dropBody`. */
  readonly whole: Promise<Result<Buffer, BodyFailure>>
  /** What `whole` resolves to, once that is known. */
  result: Result<Buffer, BodyFailure> | undefined
  private readonly buffer = new BodyBuffer()
  private settle: (result: Result<Buffer, BodyFailure>) => void = () => {}

  constructor (private readonly req: IncomingMessage, private readonly options: RequestBodyOptions) {
    this.whole = new Promise(resolve => { this.settle = resolve })
    if (Number(req.headers['content-length'] ?? 0) > options.getLimit()) this.fail('too large')
    else this.collect()
  }

  /** Keeps no more of it. */
  drop (): void {
    this.fail('cut')
  }

  /** Gives it up for want of memory. */
  giveUp (): void {
    this.fail('no memory')
  }

  private collect (): void {
    const { req } = this
    receivePieces(req, piece => this.keep(piece))
    req.on('end', () => this.finish())
    req.on('error', () => this.end(Err('cut')))
    req.on('close', () => this.end(Err('cut')))
  }

  /** Returns whether to read on. */
  private keep (piece: Buffer): boolean {
    this.options.onPiece?.()
    const before = this.buffer.memory
    this.buffer.add(piece)
    const taken = this.buffer.memory - before
    if (this.buffer.length > this.options.getLimit()) this.fail('too large')
    else if (taken > 0 && this.options.take?.(taken) === false) this.fail('no memory')
    return true
  }

  private finish (): void {
    if (this.result !== undefined) return
    if (this.buffer.length > this.options.getLimit()) return this.fail('too large')
    this.end(Ok(this.buffer.join()))
  }

  private fail (failure: BodyFailure): void {
    if (this.result !== undefined) return
    dropBody(this.req)
    this.end(Err(failure))
  }

  private end (result: Result<Buffer, BodyFailure>): void {
    if (this.result !== undefined) return
    this.result = result
    this.buffer.clear()
    this.settle(result)
  }
}
