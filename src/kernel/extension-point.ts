import type { Extension } from './extension.js'

/**
 * A point at which parts extend another part. A part lists its extensions; the part that declares the point reads them
 * from `Extensions`, in the order in which the parts were created.
 *
 * @example
 * const routePoint = new ExtensionPoint<HttpRoute>('routes')
 * class Health implements Part { readonly extensions = [routePoint.of({ path: '/healthz', … })] }
 */
export class ExtensionPoint<in out T> {
  constructor (readonly name: string) {}

  of (value: T): Extension {
    return { point: this as unknown as ExtensionPoint<unknown>, value }
  }
}
