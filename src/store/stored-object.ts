/** A value in the platform's object API. Versions of one object only grow. */
export interface StoredObject<T = unknown> {
  readonly kind: string
  readonly name: string
  readonly version: number
  readonly value: T
}
