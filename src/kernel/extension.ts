import type { ExtensionPoint } from './extension-point.js'

/** A value that a part contributes to an extension point. */
export interface Extension {
  readonly point: ExtensionPoint<unknown>
  readonly value: unknown
}
