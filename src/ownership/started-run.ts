/** A batch run under way, as the one that admits it sees it. */
export interface StartedRun {
  readonly id: string
  /** Prompt tokens that the server has to prefill for it. */
  readonly prefill: number
  /** Closes it at once, or with `afterRead` right after its next tokens. */
  readonly stop: (options?: { readonly afterRead?: boolean }) => void
}
