import type { Caller } from './caller.js'
import type { Limits } from './limits.js'
import type { Model } from './model.js'
import type { Placement } from './placement.js'
import type { Route } from './route.js'
import type { Service } from './service.js'

/** What operators have set: the merge of their folder, checked and accepted as one version. */
export interface Configuration {
  readonly version: number
  readonly services: Readonly<Record<string, Service>>
  readonly models: Readonly<Record<string, Model>>
  readonly callers: Readonly<Record<string, Caller>>
  readonly limits: Limits
  /** By pool: what its servers are to have loaded and to be. Pools left out are left alone. */
  readonly placement?: Readonly<Record<string, Placement>>
  /** By name: where requests by host and path go. */
  readonly routes?: Readonly<Record<string, Route>>
}
