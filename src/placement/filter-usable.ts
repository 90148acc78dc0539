import type { CandidateServer } from './candidate-server.js'
import type { PlacementRequest } from './placement-request.js'

/** Returns the candidates that may run a request: those of its version, if it is bound to one, without the server that it must not get. */
export function filterUsable (candidates: readonly CandidateServer[], { version, excluded }: Pick<PlacementRequest, 'version' | 'excluded'>): readonly CandidateServer[] {
  if (version === undefined && excluded === undefined) return candidates
  return candidates.filter(({ server, version: own }) => server !== excluded && (version === undefined || own === version))
}
