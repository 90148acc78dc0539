import type { OpenExchange } from './exchanges/open-exchange.js'
import { readToEnd } from './exchanges/read-to-end.js'
import type { SendFailure } from './exchanges/send-failure.js'
import type { RoutedRequest } from './routed-request.js'

interface AnswerBodiesOptions {
  /** The caller's memory; without it, only the length of a body is limited. */
  readonly memory: RoutedRequest['memory']
  /** Returns the longest wait for each read, ms. */
  readonly getTimeout: () => number
}

/** Reads the bodies of the answers to one request that are passed on whole, under its caller's memory. */
export class AnswerBodies {
  private lacksMemory = false

  constructor (private readonly options: AnswerBodiesOptions) {}

  /** Reads the rest of a body; undefined if it isn't whole here. */
  async read ({ exchange }: OpenExchange): Promise<Buffer | undefined> {
    const { memory, getTimeout } = this.options
    let held = 0
    this.lacksMemory = false
    const grow = (bytes: number): boolean => {
      this.lacksMemory = memory?.grow(bytes) === false
      if (!this.lacksMemory) held += bytes
      return !this.lacksMemory
    }
    const body = await readToEnd(exchange, { getTimeout, grow })
    // The answer to the caller is counted when it is written.
    memory?.shrink(held)
    return body.ok ? body.val : undefined
  }

  /** Fails the send whose body was read last; its server isn't at fault where this daemon lacks memory. */
  fail (open: OpenExchange, detail: string): SendFailure {
    const failure: SendFailure = { why: 'cut', sent: true, detail: this.lacksMemory ? 'there is no memory for its answer' : detail }
    if (this.lacksMemory) open.end('abandoned')
    else void open.fail(failure)
    return failure
  }
}
