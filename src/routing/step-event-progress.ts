/** How far a stream of numbered events has come; `last` is undefined before the first. */
interface EventProgress {
  readonly last: number | undefined
}

type Step = { readonly type: 'relay', readonly progress: EventProgress } | { readonly type: 'known' } | { readonly type: 'gap' }

/**
 * What to do with an event that has come: relay it, leave it out because the caller has it, or give the run up because
 * one before it is missing. A run that goes on at another server must begin right behind the last event relayed; joined
 * anywhere else, the answer would look whole and lack a piece or have one twice.
 */
export function stepEventProgress (progress: EventProgress, id: number | undefined): Step {
  if (id === undefined) return { type: 'relay', progress }
  const { last } = progress
  if (last !== undefined && id <= last) return { type: 'known' }
  if (last !== undefined && id > last + 1) return { type: 'gap' }
  return { type: 'relay', progress: { last: id } }
}
