import type { Refusal } from '../admission/refusal.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Where the answer to one routed request goes. Exactly one of `answer`, `refuse` and `begin` is called. */
export interface AnswerSink {
  /** A whole answer of a server. */
  answer (status: number, headers: Headers, body: Buffer): void
  /** The system's own final answer. */
  refuse (refusal: Refusal): void
  /** Begins a stream, which ends by `end`, or by `cut` where it isn't whole. */
  begin (status: number, headers: Headers): void
  /** Resolves when the caller has room for more. */
  write (bytes: Buffer): Promise<void>
  end (): void
  abort (): void
}
