import type { Readable } from 'node:stream'

/**
 * The answer of a backend server with a body still to be read. `end` must be called when the reader is done; `whole` is
 * whether it read the complete body.
 */
export interface ServerAnswer {
  readonly server: string
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Readable
  end (whole: boolean): void
  /** Returns the completion tokens relayed so far; present for answers of a model. */
  readonly countTokens?: () => number
  /**
   * Returns why the body ended incomplete, once it has been read. The body's last event already tells the caller; its
   * connection must be closed.
   */
  readonly findFailure?: () => string | undefined
}
