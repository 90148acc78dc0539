const DEFAULT_LIMIT = 20 // rows
const MAX_LIMIT = 100 // rows

/** Parses the query of a listing: the id after which the page begins, and its maximum length. */
export function readPage (query: Readonly<Record<string, unknown>>): { readonly after?: string, readonly limit: number } {
  const limit = Number(query.limit ?? DEFAULT_LIMIT)
  return {
    after: typeof query.after === 'string' ? query.after : undefined,
    limit: Number.isInteger(limit) && limit > 0 ? Math.min(limit, MAX_LIMIT) : DEFAULT_LIMIT
  }
}
