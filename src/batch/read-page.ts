const DEFAULT_LIMIT = 20
const MAX_LIMIT = 100

/** What a listing asks for: the id after which to go on, and how many at most. */
export function readPage (query: Readonly<Record<string, unknown>>): { readonly after?: string, readonly limit: number } {
  const limit = Number(query.limit ?? DEFAULT_LIMIT)
  return {
    after: typeof query.after === 'string' ? query.after : undefined,
    limit: Number.isInteger(limit) && limit > 0 ? Math.min(limit, MAX_LIMIT) : DEFAULT_LIMIT
  }
}
