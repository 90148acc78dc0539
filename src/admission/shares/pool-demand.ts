/**
 * The demand of callers for one pool at one daemon: the slots that they would hold, by caller, with their shares. Callers that
 * are not reported by name are summed under the empty name.
 */
export type PoolDemand = ReadonlyMap<string, { readonly share: number, readonly slots: number }>
