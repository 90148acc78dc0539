/** One run of a request, as its engine recorded it. */
export interface ObservedRun { readonly id: string, readonly path: string, readonly caller: string | undefined, readonly key: string | undefined, readonly engine: string, readonly version: string, readonly at: number, readonly resumedAfter: number | undefined, readonly events: number }
