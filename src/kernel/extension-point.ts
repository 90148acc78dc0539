import type { Extension } from './extension.js'

/**
 * A declared place where parts add behaviour to one another. A part lists its extensions; the part that
 * declared the point reads them, in the order the parts were created, from `Extensions`.
 *
 * @example
 * const routePoint = new ExtensionPoint<Route>('routes')
 * class Health implements Part { readonly extensions = [routePoint.of({ path: '/healthz', … })] }
 */
export class ExtensionPoint<in out T> {
  constructor (readonly name: string) {}

  of (value: T): Extension {
    return { point: this as unknown as ExtensionPoint<unknown>, value }
  }
}
