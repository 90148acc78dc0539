import type { LoadPlan } from '../src/load/load-plan.js'

/** A user's fleet as the bench builds it, with its online load. */
export interface Site {
  readonly name: string
  readonly engines: number
  readonly daemons: number
  readonly plan: LoadPlan
  /** Answer tokens of one batch item. */
  readonly itemTokens: number
}
