import type { Caller } from './caller.js'
import type { Limits } from './limits.js'
import type { Model } from './model.js'
import type { Placement } from './placement.js'
import type { Route } from './route.js'
import type { Service } from './service.js'

/** The operators' configuration: their merged folder, checked and accepted as one version. */
export interface Configuration {
  readonly version: number
  readonly services: Readonly<Record<string, Service>>
  readonly models: Readonly<Record<string, Model>>
  readonly callers: Readonly<Record<string, Caller>>
  readonly limits: Limits
  /** Models and role of the servers by pool. Pools not listed aren't managed. */
  readonly placement?: Readonly<Record<string, Placement>>
  /** Routes of requests by host and path, by name. */
  readonly routes?: Readonly<Record<string, Route>>
  /** Whether requests by host and path need a caller's key, except on public routes. */
  readonly requiresKeys?: boolean
}
