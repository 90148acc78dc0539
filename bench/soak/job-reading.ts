interface ReadResult { readonly id: string, readonly state: string, readonly text: string }

/** The response to one read of a job's results, starting at the first position. */
export interface JobReading { readonly at: number, readonly daemon: number, readonly status: number, readonly total: number, readonly results: readonly ReadResult[] }
