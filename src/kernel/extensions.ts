import type { Extension } from './extension.js'
import type { ExtensionPoint } from './extension-point.js'

/** The extensions of all parts of one daemon. Complete before the first part starts. */
export class Extensions {
  private readonly added: Extension[] = []

  /** @internal */
  add (extensions: readonly Extension[]): void {
    this.added.push(...extensions)
  }

  /** Returns all values contributed to `point`, in the order in which their parts were created. */
  collect<T> (point: ExtensionPoint<T>): readonly T[] {
    return this.added.filter(extension => extension.point === point as unknown).map(extension => extension.value as T)
  }
}
