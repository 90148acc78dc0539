/** What callers ask of one pool through one daemon: places they would hold, by caller, with their shares. */
export type PoolDemand = ReadonlyMap<string, { readonly share: number, readonly places: number }>
