/** State that a backend server reports of itself. */
export interface ServerState {
  readonly models: ReadonlyArray<{ readonly model: string, readonly state: 'loading' | 'loaded' }>
  readonly role: string
}
