import type { Readable } from 'node:stream'

/**
 * The answer of a backend server, its body still to be read. `end` must be called
 * once it has been read, or won't be; `whole` says which.
 */
export interface ServerAnswer {
  readonly server: string
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Readable
  end (whole: boolean): void
  /** Completion tokens relayed so far, for an answer of a model. */
  readonly countTokens?: () => number
  /**
   * Why the body ended before the answer was whole, once it has been read. The caller was told by the body's last
   * event; its connection is to be closed.
   */
  readonly findFailure?: () => string | undefined
}
