import type { LoadPlan } from '../src/load/load-plan.js'

/** One of the users' fleets as the bench builds it, with the online load it carries. */
export interface Site {
  readonly name: string
  readonly engines: number
  readonly daemons: number
  readonly plan: LoadPlan
  /** Answer tokens of one batch item. */
  readonly itemTokens: number
}
