/** A file or job that is scheduled for an expiry check. */
export interface Expiry {
  readonly type: 'file' | 'job'
  readonly id: string
}
