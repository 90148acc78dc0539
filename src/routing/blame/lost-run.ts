/** A request that was in flight at a lost server: the shared parts of its prompt and its beginning, monotonic ms. */
export interface LostRun { readonly parts: readonly string[], readonly began: number }
