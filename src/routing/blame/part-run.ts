/** A request in flight whose prompt has parts. */
export interface PartRun {
  /** Its answer has begun. */
  readonly open: () => void
  /** It has ended, or failed. */
  readonly end: (outcome: 'passed' | 'ended') => void
}
