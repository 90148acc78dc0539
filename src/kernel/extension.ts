import type { ExtensionPoint } from './extension-point.js'

/** One value contributed to one extension point. */
export interface Extension {
  readonly point: ExtensionPoint<unknown>
  readonly value: unknown
}
