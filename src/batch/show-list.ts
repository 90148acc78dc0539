/** Formats a page in the OpenAI shape. */
export function showList (data: readonly unknown[], more: boolean): unknown {
  const ids = (data as ReadonlyArray<{ id: string }>).map(({ id }) => id)
  return { object: 'list', data, first_id: ids[0] ?? null, last_id: ids.at(-1) ?? null, has_more: more }
}
