/** A refused part as it is stored; `until` and `at` are wall-clock ms. */
export interface StoredPart { readonly part: string, readonly until: number, readonly beside: readonly string[], readonly losses: ReadonlyArray<{ readonly server: string, readonly at: number }> }
