/**
 * What callers ask of one pool through one daemon: places they would hold, by caller, with their shares. Those too many
 * to name are summed under the empty name.
 */
export type PoolDemand = ReadonlyMap<string, { readonly share: number, readonly slots: number }>
