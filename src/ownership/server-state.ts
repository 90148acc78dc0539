/** What a backend server says of itself. */
export interface ServerState {
  readonly models: ReadonlyArray<{ readonly model: string, readonly state: 'loading' | 'loaded' }>
  readonly role: string
}
