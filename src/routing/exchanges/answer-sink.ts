import type { Refusal } from '../../admission/refusal.js'
import type { WholeBody } from './whole-body.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Receives the answer to one routed request. Exactly one of `answer`, `refuse` and `begin` is called. */
export interface AnswerSink {
  /** Sends a complete answer of a server. Unless `isEndMarked`, it ends with its connection too, so that it promises no more than the server did. */
  answer (status: number, headers: Headers, { body, isEndMarked }: WholeBody): void
  /** Sends a refusal of our own as the final answer. */
  refuse (refusal: Refusal): void
  /** Begins a stream, which is closed by `end`, or by `abort` if it is incomplete. Unless `isEndMarked`, only its connection marks the end. */
  begin (status: number, headers: Headers, isEndMarked: boolean): void
  /** Writes part of a stream; resolves when the caller's connection accepts more. */
  write (bytes: Buffer): Promise<void>
  end (): void
  abort (): void
}
