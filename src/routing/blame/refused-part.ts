import type { PartLoss } from './part-loss.js'

/** A part that is refused: until when (monotonic ms), with which others only, and the losses of servers that it caused. */
export interface RefusedPart { readonly part: string, readonly until: number, readonly beside: readonly string[], readonly losses: ReadonlyArray<Pick<PartLoss, 'server' | 'at'>> }
