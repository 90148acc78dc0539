/** A file or job that is to be looked at for removal. */
export interface Expiry {
  readonly type: 'file' | 'job'
  readonly id: string
}
