import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import type { PartTrials } from './part-trials.js'

/** Creates the handlers of messages between daemons about trials of parts. */
export function createTrialHandlers (getTrials: () => PartTrials): ReadonlyArray<ReturnType<typeof peerHandlerPoint.of>> {
  return [
    peerHandlerPoint.of({ type: 'part trial ask', handle: ({ part, begun }, from) => getTrials().receiveAsk(String(part), from, begun === true) }),
    peerHandlerPoint.of({ type: 'part trial', handle: ({ part }) => getTrials().receiveGrant(String(part)) }),
    peerHandlerPoint.of({ type: 'part trial busy', handle: ({ part }) => getTrials().receiveBusy(String(part)) }),
    peerHandlerPoint.of({ type: 'part trial begun', handle: ({ part }) => getTrials().receiveBegun(String(part)) }),
    peerHandlerPoint.of({ type: 'part trial done', handle: ({ part }, from) => getTrials().receiveDone(String(part), from) })
  ]
}
