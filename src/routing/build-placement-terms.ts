import { firstEventShare } from '../placement/first-event-share.js'
import type { PlacementRequest } from '../placement/placement-request.js'
import type { RoutedRequest } from './routed-request.js'

type PlacementTerms = Pick<PlacementRequest, 'caller' | 'key' | 'size' | 'arrived' | 'deadline' | 'beginBy' | 'target' | 'priority' | 'asked'>

/** Builds what all placement requests of one routed request have in common. */
export function buildPlacementTerms ({ caller, key, size, arrived, deadline, priority, asked, route }: RoutedRequest): PlacementTerms {
  const beginBy = arrived + (route.silence ?? Infinity) - route.target * firstEventShare
  return { caller, key, size, arrived, deadline, beginBy, target: route.target, priority, asked }
}
