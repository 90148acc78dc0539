/** One run at an engine, as the engine saw it. */
export interface ObservedRun { readonly id: string, readonly path: string, readonly engine: string, readonly at: number, readonly resumedAfter: number | undefined, readonly events: number }
