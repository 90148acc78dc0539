/** A batch run in flight, as seen by admission. */
export interface StartedRun {
  readonly id: string
  /** Prompt tokens that the server has to prefill for it. */
  readonly prefill: number
  /** Closes the run at once, or with `afterRead` right after its next tokens. */
  readonly stop: (options?: { readonly afterRead?: boolean }) => void
}
