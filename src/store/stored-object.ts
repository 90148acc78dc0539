/** An object in the platform's object API. Its version only grows. */
export interface StoredObject<T = unknown> {
  readonly kind: string
  readonly name: string
  readonly version: number
  readonly value: T
}
