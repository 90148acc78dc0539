import type { Refusal } from '../../admission/refusal.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Receives the answer to one routed request. Exactly one of `answer`, `refuse` and `begin` is called. */
export interface AnswerSink {
  /** Sends a complete answer of a server. */
  answer (status: number, headers: Headers, body: Buffer): void
  /** Sends a refusal of our own as the final answer. */
  refuse (refusal: Refusal): void
  /** Begins a stream, which is closed by `end`, or by `abort` if it is incomplete. */
  begin (status: number, headers: Headers): void
  /** Writes part of a stream; resolves when the caller's connection accepts more, or when `signal` is aborted. */
  write (bytes: Buffer, signal?: AbortSignal): Promise<void>
  end (): void
  abort (): void
}
