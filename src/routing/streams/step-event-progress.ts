/** Progress of a stream of numbered events: the id of the last event relayed, undefined before the first. */
interface EventProgress {
  readonly last: number | undefined
}

type Step = { readonly type: 'relay', readonly progress: EventProgress } | { readonly type: 'known' } | { readonly type: 'gap' }

/**
 * Decides what to do with a received event: relay it, skip it because the caller already has it (`known`), or fail the run
 * because an earlier one is missing (`gap`). A run that resumes a stream must continue right after the last event relayed,
 * or the answer would look complete with an event missing or repeated.
 */
export function stepEventProgress (progress: EventProgress, id: number | undefined): Step {
  if (id === undefined) return { type: 'relay', progress }
  const { last } = progress
  if (last !== undefined && id <= last) return { type: 'known' }
  if (last !== undefined && id > last + 1) return { type: 'gap' }
  return { type: 'relay', progress: { last: id } }
}
